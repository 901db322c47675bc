"""The operator's own configuration, beside what the platform configures; used only if its file is named."""
