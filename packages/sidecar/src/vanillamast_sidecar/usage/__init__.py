"""Fleet-wide usage caps of organisations."""
