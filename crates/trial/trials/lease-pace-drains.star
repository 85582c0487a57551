# For figures: forty drains of the holder, one after the other.
deployment(controllers = 1, keep_alive = "9s", cold_share = 0.3, cold_time = "300ms", tip_factor = 2.5, tip_window = "1s",
    zones = ["kigali", "huye"])
machine("big", memory = "20GB", cores = 16)
invokers(kind = "big", count = 2, zone = "kigali")
invokers(kind = "big", count = 1, zone = "huye")
trigger_type("narrate", objective = "2s", client_timeout = "4s")
tenant("hill-museum", quota_per_s = 900)
function("voice", trigger = "narrate", memory = "2GB", lanes = 16, load_time = "50ms")
fleet("museums", renew = "100ms", suspect_level = 8.0)
bound(kind = "invoker", out = 1)
lease("counting", task = "count", eligible = "invoker", resources = ["journal-1", "journal-2"])
trial("lease-pace-drains", controllers = 1, journals = 2, returns = "50ms")
step("effects", times = 20)
for n in range(40):
    step("ask", id = "drain-" + str(n), of = ["holder"])
    step("handover")
    step("over", id = "drain-" + str(n))
    step("all_up")
