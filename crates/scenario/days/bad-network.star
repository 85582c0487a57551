# The network itself goes bad: lines slow down, are cut one way and both, clocks disagree, a controller stands still.
deployment(controllers = 4, keep_alive = "9s", cold_share = 0.2, cold_time = "8s", tip_factor = 2.5,
    tip_window = "1.5s", drain_grace = "250ms", come_back_most = "500ms", dispatches = 4,
    order_window = "2s", orders_free = 20, orders_share = 0.2)
machine("big", memory = "42GB", cores = 5)
invokers(kind = "big", count = 12, cell_size = 4)

trigger_type("narrate", objective = "1.2s", client_timeout = "5s", late_share = 0.3)
trigger_type("book", objective = "1.5s", client_timeout = "4s", effect = "non-idempotent", billed_value = 2)
trigger_type("charge", objective = "1.5s", client_timeout = "4s", effect = "tokened", scope = "cell",
    repeat_window = "3s", billed_value = 2)
tenant("hill-museum", quota_per_s = 120)
tenant("lake-gallery", quota_per_s = 80)

voices = ["voice-%d" % n for n in range(12)]
[function(v, trigger = "narrate", memory = "3200MB", lanes = 6, load_time = "1200ms") for v in voices]
function("book", trigger = "book", memory = "900MB", lanes = 4, load_time = "600ms")
function("charge", trigger = "charge", memory = "900MB", lanes = 4, load_time = "600ms")

day("bad network", length = "24s", seed = 9, retries = 1, backoff = "150ms", list_notice = "300ms")
network(delay = "1ms", jitter = "2ms", bandwidth = "125MB", clocks_ahead = "90s", clocks_drift_ppm = 200)
traffic(tenant = "hill-museum", functions = voices, zipf = 1.2, per_second = 80, work = "110ms", spread = 0.9)
traffic(tenant = "lake-gallery", functions = voices[3:], zipf = 1.1, per_second = 50, work = "110ms", spread = 0.9)
traffic(tenant = "hill-museum", functions = ["book"], per_second = 16, work = "60ms")
traffic(tenant = "lake-gallery", functions = ["charge"], per_second = 16, work = "60ms")

trouble("line_slow", at = "3s", lasts = "4s", invokers = [1, 2, 3, 4], delay = "120ms")
trouble("line_cut", at = "8s", lasts = "2s", controllers = [1, 2], invokers = [5, 6], one_way = "to_invokers")
trouble("deploy", at = "9s", invokers = [5, 7], delay = "1500ms")
trouble("line_cut", at = "12s", lasts = "2s", controllers = [1, 3], invokers = [8, 9], one_way = "to_controllers")
trouble("line_cut", at = "15s", lasts = "5s", controllers = [2], invokers = [1, 2, 3, 10])
trouble("controller_stall", at = "18s", lasts = "2s", controllers = [4])
