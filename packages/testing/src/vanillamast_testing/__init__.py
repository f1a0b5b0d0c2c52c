"""Stand-ins, scenarios, demo and bench of vanillamast. Not shipped."""
