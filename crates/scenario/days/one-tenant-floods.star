# Modelled on docs/incidents/guides-flood-by-one-tenant.md: one tenant asks for three times its share.
deployment(controllers = 3, keep_alive = "9s", cold_share = 0.25, cold_time = "8s", tip_factor = 2.5,
    tip_window = "1.5s", come_back_most = "500ms")
machine("big", memory = "42GB", cores = 5)
invokers(kind = "big", count = 8)
trigger_type("narrate", objective = "1.2s", client_timeout = "5s", late_share = 0.3)
tenant("hill-museum", quota_per_s = 60)
tenant("lake-gallery", quota_per_s = 50)
tenant("drum-room", quota_per_s = 40)
voices = ["voice-%d" % n for n in range(12)]
[function(v, trigger = "narrate", memory = "3200MB", lanes = 6, load_time = "1500ms") for v in voices]
day("one tenant floods", length = "22s", seed = 3, retries = 1, backoff = "200ms")
traffic(tenant = "hill-museum", functions = voices, zipf = 1.2, per_second = 60, work = "120ms")
traffic(tenant = "lake-gallery", functions = voices[2:], zipf = 1.2, per_second = 50, work = "120ms")
traffic(tenant = "drum-room", functions = voices[4:], zipf = 1.2, per_second = 40, work = "120ms")
traffic(tenant = "drum-room", functions = voices[4:], zipf = 1.2, per_second = 300, work = "120ms", begin = "6s", end = "14s")
