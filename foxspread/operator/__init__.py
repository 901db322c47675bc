"""What an operator adds to what the platform tells a sidecar; off unless its file is named."""
