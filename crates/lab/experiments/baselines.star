# The design beside policies that are kept for comparison only, on days with troubles of all kinds.
experiment("the design and the baselines", days = ["bad-day", "bad-network"], seeds = 8)
variant("design")
variant("random", policy = "random")
variant("fewest out", policy = "fewest-out")
variant("rendezvous", policy = "rendezvous")
