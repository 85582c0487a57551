# Models in versions, called by aliases that move every second while passages go on. Controllers and the registry die,
# watchers are cut off, versions are withdrawn. No visitor may hear two versions in one passage.
deployment(
    controllers = 4, keep_alive = "9s", dispatches = 6, come_back_most = "500ms",
    cold_share = 0.3, cold_time = "4s", tip_factor = 2.5, tip_window = "1s", drain_grace = "250ms",
)
machine("big", memory = "42GB", cores = 5)
invokers(kind = "big", count = 12, cell_size = 4)
trigger_type("narrate", objective = "2s", client_timeout = "5s")
trigger_type("book", objective = "2s", client_timeout = "4s", effect = "non-idempotent", billed_value = 2)
tenant("hill-museum", quota_per_s = 120)
tenant("lake-gallery", quota_per_s = 60)
voices = ["voice-%d" % n for n in range(6)]
[function(v, trigger = "narrate", memory = "2400MB", lanes = 6, load_time = "900ms") for v in voices]
function("book", trigger = "book", memory = "900MB", lanes = 4, load_time = "600ms")

day("models day", length = "30s", seed = 1, retries = 1, backoff = "150ms", list_notice = "300ms",
    versions = 40, moves = "1s", passage = 4, layers = "shared")
network(delay = "1ms", jitter = "1ms")
traffic(tenant = "hill-museum", functions = voices, zipf = 1.0, per_second = 16, work = "90ms", spread = 0.8)
traffic(tenant = "lake-gallery", functions = voices[2:], zipf = 0.8, per_second = 8, work = "90ms", spread = 0.8)
traffic(tenant = "hill-museum", functions = ["book"], per_second = 5, work = "60ms")
trouble("controller_crash", at = "5s", lasts = "2s", controllers = [2])
trouble("registry_lost", at = "8s", lasts = "4s")
trouble("registry_cut", at = "13s", lasts = "8s", controllers = [1, 3])
trouble("crash", at = "16s", lasts = "3s", invokers = [4, 9])
trouble("withdrawn", at = "22s", functions = ["voice-1"])
trouble("controller_crash", at = "24s", lasts = "2s", controllers = [4])
