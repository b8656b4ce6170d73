"""Planning of expert maps for rank groups, and the protocol that changes the map."""
