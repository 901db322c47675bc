"""The operator's configuration: parsed, validated and admitted as items that each carry a version. No I/O."""
