# Modelled on docs/incidents/guides-most-of-a-fleet-goes.md: half the invokers go, and come back cold together.
deployment(controllers = 4, keep_alive = "9s", cold_share = 0.25, cold_time = "8s", tip_factor = 2.5,
    tip_window = "1.5s", come_back_most = "500ms")
machine("big", memory = "42GB", cores = 5)
invokers(kind = "big", count = 14)
trigger_type("narrate", objective = "1.2s", client_timeout = "5s", late_share = 0.3)
tenant("hill-museum", quota_per_s = 150)
tenant("lake-gallery", quota_per_s = 100)
voices = ["voice-%d" % n for n in range(16)]
[function(v, trigger = "narrate", memory = "3200MB", lanes = 6, load_time = "1500ms") for v in voices]
day("most of a fleet goes", length = "24s", seed = 9, retries = 1, backoff = "200ms")
traffic(tenant = "hill-museum", functions = voices, zipf = 1.3, per_second = 130, work = "120ms")
traffic(tenant = "lake-gallery", functions = voices[4:], zipf = 1.2, per_second = 90, work = "120ms")
trouble("crash", at = "6s", lasts = "7s", invokers = [1, 3, 4, 6, 8, 9, 12])
trouble("hot_function", at = "15s", lasts = "5s", functions = ["voice-15"], part = 0.15)
