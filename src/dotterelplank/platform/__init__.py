"""The adapter to the users' platform with its names, formats and calls.

The modules make no decisions. They only convert between the platform's formats and the
types of this package. No other part of the package uses the platform's names.
"""
