# Chunks fetched once and shared, beside each invoker for itself and whole models.
experiment("models from the store", days = ["layers-day"], seeds = 8)
variant("shared", day = {"layers": "shared"})
variant("each alone", day = {"layers": "alone"})
variant("whole models", day = {"layers": "off"})
