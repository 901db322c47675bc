"""The decisions by concern; `foxspread.logic` puts them together."""
