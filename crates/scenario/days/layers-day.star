# The bad day, its models in chunks: each fetched once and shared between invokers.
deployment(controllers = 3, keep_alive = "9s", cold_share = 0.2, cold_time = "8s", tip_factor = 2.5,
    tip_window = "1.5s", drain_grace = "250ms", come_back_most = "500ms", dispatches = 6)
machine("big", memory = "42GB", cores = 5)
machine("small", memory = "33GB", cores = 4, speed = 0.7)
invokers(kind = "big", count = 8, cell_size = 4)
invokers(kind = "small", count = 4, cell_size = 4)

trigger_type("narrate", objective = "1.2s", client_timeout = "5s", late_share = 0.3)
trigger_type("book", objective = "1.5s", client_timeout = "4s", effect = "non-idempotent", billed_value = 2)
trigger_type("charge", objective = "1.5s", client_timeout = "4s", effect = "tokened", scope = "cell",
    repeat_window = "3s", billed_value = 2)

tenant("hill-museum", quota_per_s = 120)
tenant("lake-gallery", quota_per_s = 80)
tenant("craft-house", quota_per_s = 60)

voices = ["voice-%d" % n for n in range(14)]
[function(v, trigger = "narrate", memory = "3200MB", lanes = 6, load_time = "1500ms") for v in voices]
[function("book-%d" % n, trigger = "book", memory = "900MB", lanes = 4, load_time = "600ms") for n in range(2)]
[function("charge-%d" % n, trigger = "charge", memory = "900MB", lanes = 4, load_time = "600ms") for n in range(2)]

day("layers day", layers = "shared", model = "2MB", length = "32s", seed = 5, retries = 1, backoff = "150ms", list_notice = "300ms", store_limit = 24)
traffic(tenant = "hill-museum", functions = voices, zipf = 1.2, per_second = 75, work = "110ms", spread = 0.9)
traffic(tenant = "lake-gallery", functions = voices[3:], zipf = 1.1, per_second = 45, work = "110ms", spread = 0.9)
traffic(tenant = "craft-house", functions = voices[7:], zipf = 1.0, per_second = 20, work = "110ms")
traffic(tenant = "craft-house", functions = ["book-0", "book-1"], per_second = 14, work = "60ms")
traffic(tenant = "hill-museum", functions = ["charge-0", "charge-1"], per_second = 14, work = "60ms")
traffic(tenant = "lake-gallery", functions = ["voice-13"], at_once = 60, work = "110ms", begin = "6s")

trouble("store_slow", at = "1s", lasts = "3s", times = 3)
trouble("crash", at = "3s", lasts = "4s", invokers = [2, 11])
trouble("client_hang_ups", at = "5s", lasts = "20s", part = 0.04, delay = "900ms")
trouble("hang", at = "8s", lasts = "3s", invokers = [5])
trouble("store_refuses", at = "9s", lasts = "2s", part = 0.5)
trouble("hot_function", at = "9s", lasts = "6s", functions = ["voice-12"], part = 0.15)
trouble("deploy", at = "12s", invokers = [1, 3, 9], batch = 1, delay = "1500ms")
trouble("controller_crash", at = "14s", lasts = "3s", controllers = [2])
trouble("refused_for_room", at = "16s", lasts = "6s", tenant = "lake-gallery", invokers = [1, 2, 3, 4, 5], part = 0.7)
trouble("answers_lost", at = "18s", lasts = "4s", invokers = [6, 7], part = 0.3)
trouble("bad_input", at = "19s")
trouble("half_frames", at = "20s", lasts = "500ms", invokers = [4])
trouble("list_lost", at = "21s", lasts = "4s")
trouble("stuck_sockets", at = "23s", lasts = "2s", invokers = [8])
trouble("fast_errors", at = "24s", lasts = "3s", invokers = [10], part = 0.6)
trouble("controller_stall", at = "26s", lasts = "2s", controllers = [3])
trouble("flush", at = "28s", part = 0.5)
