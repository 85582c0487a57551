# Modelled on docs/incidents/market-overload-without-a-record.md: an overload in which answers also get lost.
deployment(controllers = 3, zones = ["north", "south"], keep_alive = "9s", cold_share = 0.25, cold_time = "8s",
    tip_factor = 2.5, tip_window = "1.5s", come_back_most = "500ms")
machine("worker", memory = "24GB", cores = 4)
invokers(kind = "worker", count = 5, zone = "north", cell_size = 3)
invokers(kind = "worker", count = 5, zone = "south", cell_size = 3)
trigger_type("score", objective = "1s", client_timeout = "4s")
trigger_type("pay", objective = "1.2s", client_timeout = "4s", effect = "non-idempotent", billed_value = 2)
trigger_type("note", objective = "1.2s", client_timeout = "4s", effect = "tokened", scope = "zone", repeat_window = "3s")
tenant("stalls", quota_per_s = 150)
tenant("city", quota_per_s = 60)
scores = ["score-%d" % n for n in range(8)]
[function(s, trigger = "score", memory = "1500MB", lanes = 4, load_time = "900ms") for s in scores]
[function("pay-%d" % n, trigger = "pay", memory = "800MB", lanes = 4, load_time = "500ms") for n in range(2)]
[function("note-%d" % n, trigger = "note", memory = "800MB", lanes = 4, load_time = "500ms") for n in range(2)]
day("answers lost", length = "22s", seed = 21, retries = 1, backoff = "150ms")
traffic(tenant = "stalls", functions = scores, zipf = 1.1, per_second = 140, work = "100ms")
traffic(tenant = "city", functions = ["pay-0", "pay-1"], per_second = 40, work = "80ms")
traffic(tenant = "city", functions = ["note-0", "note-1"], per_second = 40, work = "80ms")
traffic(tenant = "stalls", functions = scores, zipf = 1.1, per_second = 180, work = "100ms", begin = "8s", end = "13s")
trouble("answers_lost", at = "4s", lasts = "14s", part = 0.05)
trouble("heavy_tail", at = "9s", lasts = "4s", part = 0.03, times = 12)
trouble("ageing", at = "6s", lasts = "8s", invokers = [3], times = 0.4)
trouble("slow", at = "10s", lasts = "5s", invokers = [7], times = 5)
trouble("late_reports", at = "10s", lasts = "5s", delay = "2s")
trouble("zone_cut", at = "15s", lasts = "3s", zone = "south")
trouble("slow_readers", at = "5s", lasts = "10s", part = 0.01, delay = "2s")
