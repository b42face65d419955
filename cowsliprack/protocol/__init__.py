"""Messages, codecs and interfaces to other systems."""
