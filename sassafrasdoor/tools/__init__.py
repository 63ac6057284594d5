"""Command-line programs, one thin module each."""
