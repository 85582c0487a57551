# A fleet under an even load with two troubles. Experiments make it larger by their sizes.
deployment(controllers = 4, keep_alive = "9s", cold_share = 0.2, cold_time = "8s", tip_factor = 2.5,
    tip_window = "1.5s", drain_grace = "250ms", come_back_most = "500ms", dispatches = 4)
machine("big", memory = "42GB", cores = 5)
invokers(kind = "big", count = 12, cell_size = 4)
trigger_type("narrate", objective = "1.2s", client_timeout = "5s", late_share = 0.3)
trigger_type("book", objective = "1.5s", client_timeout = "4s", effect = "non-idempotent", billed_value = 2)
tenant("hill-museum", quota_per_s = 120)
tenant("lake-gallery", quota_per_s = 80)
voices = ["voice-%d" % n for n in range(40)]
[function(v, trigger = "narrate", memory = "2400MB", lanes = 6, load_time = "900ms") for v in voices]
function("book", trigger = "book", memory = "900MB", lanes = 4, load_time = "600ms")

day("fleet", length = "12s", seed = 1, retries = 1, backoff = "150ms", list_notice = "300ms")
network(delay = "1ms", jitter = "1ms", bandwidth = "1250MB")
traffic(tenant = "hill-museum", functions = voices, zipf = 1.1, per_second = 75, work = "110ms", spread = 0.9)
traffic(tenant = "lake-gallery", functions = voices[5:], zipf = 1.0, per_second = 45, work = "110ms", spread = 0.9)
traffic(tenant = "hill-museum", functions = ["book"], per_second = 24, work = "60ms")
trouble("crash", at = "4s", lasts = "3s", invokers = [2])
trouble("deploy", at = "7s", invokers = [5], delay = "1500ms", batch = 1)
