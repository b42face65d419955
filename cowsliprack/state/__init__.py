"""State of an instance: configuration, targets and model engines."""
