"""What may be spent beyond the first: the budget of further tries (the field's term: retry budget). Pure."""
