# What grows with the fleet, and what gives out first: 12, 84, 300 invokers, controllers and load in proportion.
experiment("scale", days = ["fleet.star"], seeds = 4, sizes = [1, 7, 25])
variant("design")
