//! Hosts controllers: reads records straight into calls, writes answers straight as records.

use crate::codec::{Fault, Fields, Reply};
use saltdrum::DispatchPolicy;
use saltdrum::interface::*;
use saltdrum_settings::{ParsedSettings, SettingValues};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

struct Instance {
    controller: DispatchPolicy,
    report: Vec<String>,
    trigger_types: usize,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    reply: Reply,
}

/// Writes one instance's actions into the reply.
struct Writer<'a> {
    reply: &'a mut Reply,
    id: u32,
}

impl Actions for Writer<'_> {
    fn dispatch(&mut self, inv: InvocationId, invoker: InvokerId, time_out: Ticks) {
        self.reply
            .record(1, self.id)
            .put(&inv.to_le_bytes())
            .put(&invoker.to_le_bytes())
            .time(time_out);
    }
    fn throttle(&mut self, inv: InvocationId, come_back: Ticks) {
        self.reply
            .record(2, self.id)
            .put(&inv.to_le_bytes())
            .time(come_back);
    }
    fn error(&mut self, inv: InvocationId) {
        self.reply.record(3, self.id).put(&inv.to_le_bytes());
    }
    fn cancel(&mut self, inv: InvocationId, hop: u8) {
        self.reply
            .record(4, self.id)
            .put(&inv.to_le_bytes())
            .put(&[hop]);
    }
    fn load(&mut self, invoker: InvokerId, function: FunctionId, count: u8) {
        let record = self.reply.record(13, self.id);
        record
            .put(&function.to_le_bytes())
            .put(&[count])
            .put(&invoker.to_le_bytes());
    }
    fn unload(&mut self, invoker: InvokerId, function: FunctionId) {
        self.reply
            .record(14, self.id)
            .put(&invoker.to_le_bytes())
            .put(&function.to_le_bytes());
    }
    fn probe(&mut self, invoker: InvokerId) {
        self.reply.record(6, self.id).put(&invoker.to_le_bytes());
    }
    fn set_timer(&mut self, at: Ticks, token: u64) {
        self.reply
            .record(5, self.id)
            .time(at)
            .put(&token.to_le_bytes());
    }
    fn log(&mut self, text: &str) {
        self.reply.record(9, self.id).text(text);
    }
}

impl Host {
    /// Handles one frame, header included, and gives the reply frame.
    pub fn frame(&mut self, frame: &[u8]) -> Result<Vec<u8>, Fault> {
        let mut f = Fields::new(frame, 0);
        let records = f.u32("record count")?;
        f.u32("frame length")?;
        let now = f.time("clock")?;
        for n in 0..records {
            let at = f.at();
            self.record(&mut f, now)
                .map_err(|e| format!("record {n} at byte {at}: {e}"))?;
        }
        if f.at() < frame.len() {
            return Err(format!(
                "byte {}: {} bytes after the last record",
                f.at(),
                frame.len() - f.at()
            ));
        }
        Ok(self.reply.finish())
    }

    fn record(&mut self, f: &mut Fields, now: Ticks) -> Result<(), Fault> {
        let code = f.u8("event code")?;
        if !(1..=11).contains(&code) {
            return Err(format!("unknown event code {code}"));
        }
        let id = f.u32("controller_id")?;
        if code == 11 {
            let seed = f.u64("seed")?;
            let n = f.u32("length of info")?;
            let info = f.take(n as usize, "info")?;
            let text = std::str::from_utf8(info)
                .map_err(|e| format!("settings: not UTF-8 at byte {}", e.valid_up_to()))?;
            let settings = SettingValues::from_lines(text).map_err(|error| error.to_string())?;
            let parsed = saltdrum_settings::parse(&settings).map_err(|error| error.to_string())?;
            let ParsedSettings {
                deployment,
                report_fields: report,
            } = parsed;
            let trigger_types = deployment.trigger_types.len();
            let controller = self.guard(id, |w| DispatchPolicy::new(now, deployment, seed, w));
            if let Some(controller) = controller {
                self.instances.insert(
                    id,
                    Instance {
                        controller,
                        report,
                        trigger_types,
                    },
                );
            }
            return Ok(());
        }
        let mut instance = self
            .instances
            .remove(&id)
            .ok_or_else(|| format!("unknown instance {id}"))?;
        if code == 1 {
            return Ok(());
        }
        let sound = self.told(code, f, now, id, &mut instance)?;
        if sound {
            self.instances.insert(id, instance);
        }
        Ok(())
    }

    /// False when the controller panicked: its state is not to be trusted any more.
    fn told(
        &mut self,
        code: u8,
        f: &mut Fields,
        now: Ticks,
        id: u32,
        instance: &mut Instance,
    ) -> Result<bool, Fault> {
        let Instance {
            controller: c,
            report,
            trigger_types,
        } = instance;
        let done = match code {
            2 => {
                let token = f.u64("cookie")?;
                self.guard(id, |w| c.timer_fired(now, token, w))
            }
            3 => {
                let inv = f.u32("xid")?;
                self.guard(id, |_| c.client_left(now, inv))
            }
            4 => {
                let form = f.u8("form")?;
                f.u32("seq_no")?;
                let entries = read_entries(f)?;
                match form {
                    0 | 3 => self.guard(id, |_| c.invokers_changed(now, true, &entries)),
                    1 => self.guard(id, |_| c.invokers_changed(now, false, &entries)),
                    2 => Some(()),
                    _ => return Err(format!("unknown list form {form}")),
                }
            }
            // No peers, streams or probes are in use; all three are read past.
            5 => {
                f.u32("src_peer")?;
                let n = f.u16("length of octets")?;
                f.take(n.into(), "octets")?;
                Some(())
            }
            6 => {
                f.take(17, "Established")?;
                Some(())
            }
            7 => {
                let answer = read_answer(f, report)?;
                self.guard(id, |w| c.attempt_ended(now, answer, w))
            }
            8 => {
                f.time("time_taken_ms")?;
                f.u32("invoker")?;
                outcome(f.u8("result")?)?;
                f.values()?;
                Some(())
            }
            9 => {
                let inv = read_invocation(f, now, *trigger_types)?;
                self.guard(id, |w| c.invocation_arrived(now, inv, w))
            }
            _ => {
                let answer = read_hold(f)?;
                self.guard(id, |w| c.load_ended(now, answer, w))
            }
        };
        Ok(done.is_some())
    }

    fn guard<T>(&mut self, id: u32, call: impl FnOnce(&mut Writer) -> T) -> Option<T> {
        let mut writer = Writer {
            reply: &mut self.reply,
            id,
        };
        match catch_unwind(AssertUnwindSafe(|| call(&mut writer))) {
            Ok(done) => Some(done),
            Err(panic) => {
                let text = panic.downcast_ref::<String>().map(String::as_str);
                let text = text
                    .or_else(|| panic.downcast_ref::<&str>().copied())
                    .unwrap_or("panic");
                self.reply.record(10, id).text(text);
                None
            }
        }
    }
}

fn outcome(code: u8) -> Result<Outcome, Fault> {
    Ok(match code {
        0 => Outcome::Succeeded,
        1 => Outcome::Miss,
        249 => Outcome::NotSent,
        250 => Outcome::Cancelled,
        251 => Outcome::Reset,
        252 => Outcome::NoConnection,
        253 => Outcome::TimedOut,
        254 => Outcome::Full,
        255 => Outcome::Errored,
        _ => return Err(format!("unknown outcome {code}")),
    })
}

fn read_entries(f: &mut Fields) -> Result<Vec<InvokerRecord>, Fault> {
    let n = f.u32("count of nodes_list")?;
    let mut entries = Vec::new();
    for _ in 0..n {
        let invoker = f.u32("invoker")?;
        let zone = f.u8("dc")?;
        let kind = f.u16("machine")?;
        let cell = f.u16("pack")?;
        let life = match f.u8("lifecycle")? {
            0 => InvokerStatus::Gone,
            1 => InvokerStatus::Ready,
            2 => InvokerStatus::Draining,
            code => return Err(format!("unknown lifecycle {code}")),
        };
        let size = f64::from(f.f32("nominal")?);
        let started = Some(f.time("start_time_ms")?).filter(|at| *at > 0);
        entries.push(InvokerRecord {
            invoker,
            zone,
            machine_kind: kind,
            cell,
            status: life,
            capacity: size,
            started_at: started,
        });
    }
    Ok(entries)
}

fn read_report(f: &mut Fields, names: &[String]) -> Result<LoadReport, Fault> {
    let values = f.values()?;
    let named = |name: &str| {
        let i = names.iter().position(|n| n == name)?;
        values
            .get(i)
            .map(|v| f64::from(*v))
            .filter(|v| v.is_finite())
    };
    Ok(LoadReport {
        utilization: named("util"),
        queue_length: named("queue"),
    })
}

fn read_answer(f: &mut Fields, report: &[String]) -> Result<AttemptResult, Fault> {
    let inv = f.u32("xid")?;
    let invoker = f.u32("invoker")?;
    let finished = f.u8("no_more")? != 0;
    let remark = f.u8("remark")?;
    let hop = f.u8("hop")?;
    let outcome = outcome(f.u8("result")?)?;
    let took = f.time("time_taken_ms")?;
    let found = match remark % 8 {
        1 => Some(StartKind::Warm),
        2 => Some(StartKind::BeganLoad),
        3 => Some(StartKind::JoinedLoad),
        4 => Some(StartKind::LoadFailed),
        _ => None,
    };
    let tells = matches!(outcome, Outcome::Succeeded | Outcome::Full);
    let crowd = Some(remark / 8).filter(|n| tells && *n > 0);
    Ok(AttemptResult {
        invocation: inv,
        invoker,
        attempt: hop,
        finished,
        outcome,
        start_kind: found,
        concurrency: crowd,
        duration: took,
        report: read_report(f, report)?,
    })
}

fn read_invocation(f: &mut Fields, now: Ticks, types: usize) -> Result<Invocation, Fault> {
    let id = f.u32("xid")?;
    let trigger = usize::from(f.u16("lane")?);
    if trigger >= types {
        return Err(format!("lane {trigger}: only {types} classes are stated"));
    }
    let tenant = f.u32("tenant")? as usize;
    let function = f.u64("routine")?;
    let expires = f.time("expires_ms")?;
    let hint = f.f64("predicted_ms")?;
    let memory = f64::from(f.f32("size_mb")?);
    let lanes = f64::from(f.f32("per_copy")?);
    let load = f64::from(f.f32("bringup_ms")?);
    let options = f.u8("options")?;
    let usable = |ms: f64| ms.is_finite() && ms > 0.0;
    Ok(Invocation {
        id,
        trigger,
        tenant,
        function,
        earliest_arrival: now,
        expires_at: expires,
        work_hint: Some(hint)
            .filter(|ms| options & 1 != 0 && usable(*ms))
            .map(crate::codec::ticks_from_ms),
        memory_mb: if usable(memory) { memory } else { 0.0 },
        concurrency_limit: if usable(lanes) { lanes.max(1.0) } else { 1.0 },
        load_time_hint: Some(load)
            .filter(|ms| usable(*ms))
            .map(crate::codec::ticks_from_ms),
    })
}

fn read_hold(f: &mut Fields) -> Result<LoadResult, Fault> {
    let took = f.time("time_taken_ms")?;
    let standing = f.u8("count")?;
    let outcome = match outcome(f.u8("result")?)? {
        Outcome::Succeeded => LoadOutcome::Loaded,
        Outcome::Full => LoadOutcome::NoCapacity,
        Outcome::Errored | Outcome::Miss => LoadOutcome::LoadFailed,
        Outcome::TimedOut => LoadOutcome::TimedOut,
        _ => LoadOutcome::Unreachable,
    };
    let function = f.u64("routine")?;
    let invoker = f.u32("invoker")?;
    Ok(LoadResult {
        invoker,
        function,
        outcome,
        loaded_instances: standing,
        duration: took,
        sent_at: None,
    })
}

#[cfg(test)]
mod tests;
