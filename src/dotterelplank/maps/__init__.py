"""Expert maps of the product's own rank groups: their planning and their change."""
