"""The operators' command of vanillamast."""
