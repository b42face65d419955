"""Development tools: stand-ins, demo, benchmarks and the test runner."""
