"""Configuration files, each of which is validated as a whole before any of its values is used."""
