"""Stand-ins for the systems around the load balancer.

They replace the platform, the engines, rank groups, the weight store, plain services
and the network in tests, trials and the demo.
"""
