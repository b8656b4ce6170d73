"""The entry and the agent of the product's own interface, and what both need."""
