# Whether chunks that invokers share bear a fleet that whole models from the store do not: 12, 84 and 300 invokers.
experiment("models from the store, by size", days = ["fleet.star"], seeds = 2, sizes = [1, 7, 25])
variant("whole models")
variant("each alone", day = {"layers": "alone"})
variant("shared", day = {"layers": "shared"})
