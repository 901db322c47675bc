"""The decisions by concern; `foxspread.balancer` puts them together."""
