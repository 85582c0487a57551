# Modelled on docs/incidents/agap-misses-burn-tries.md: a dispatch loads nothing, orders are rationed, invokers go.
deployment(controllers = 3, keep_alive = "10s", cold_share = 0.3, cold_time = "8s", tip_factor = 3,
    tip_window = "2s", drain_grace = "1s", come_back_most = "1s", on_miss = "miss", dispatches = 3,
    order_window = "5s", orders_free = 6, orders_share = 0.08)
machine("runner", memory = "16GB", cores = 4)
invokers(kind = "runner", count = 10, cell_size = 5)
trigger_type("price", objective = "800ms", client_timeout = "3s")
trigger_type("order", objective = "1s", client_timeout = "4s", effect = "tokened", scope = "all", repeat_window = "3s", billed_value = 3)
tenant("shops", quota_per_s = 200)
plugins = ["plugin-%d" % n for n in range(12)]
[function(p, trigger = "price", memory = "600MB", lanes = 2, load_time = "700ms") for p in plugins]
[function("order-%d" % n, trigger = "order", memory = "600MB", lanes = 2, load_time = "700ms") for n in range(3)]
day("misses burn tries", length = "22s", seed = 11, retries = 2, backoff = "150ms")
traffic(tenant = "shops", functions = plugins, zipf = 1.1, per_second = 110, work = "70ms")
traffic(tenant = "shops", functions = ["order-0", "order-1", "order-2"], per_second = 30, work = "70ms")
trouble("store_slow", at = "4s", lasts = "6s", times = 2)
trouble("crash", at = "5s", lasts = "6s", invokers = [2, 5, 9])
trouble("flush", at = "14s", part = 0.7)
trouble("controller_roll", at = "16s", lasts = "600ms", controllers = [1, 2, 3])
