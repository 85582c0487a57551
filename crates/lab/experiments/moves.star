# What aliases that move every second cost those who listen: at the models day's size and ten times larger.
experiment("moves", days = ["models-day"], seeds = 4, sizes = [1, 10])
variant("no moves", day = {"moves": "0s"})
variant("moved at once")
variant("in stages", day = {"staged": True})
