"""The command line, its console output, the demo and log analysis."""
