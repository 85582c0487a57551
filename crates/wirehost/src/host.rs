//! Hosts controllers: each event record becomes one call of a [`DispatchPolicy`], and each action one record of the reply.

use crate::actions::ActionWriter;
use crate::codec::{Fields, Reply};
use crate::error::WireError;
use crate::records::{self, ListForm};
use saltdrum::DispatchPolicy;
use saltdrum::interface::Ticks;
use saltdrum_settings::SettingValues;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Codes of the wire's event records.
mod code {
    pub(super) const STOP: u8 = 1;
    pub(super) const TIMER: u8 = 2;
    pub(super) const CLIENT_DISCONNECTED: u8 = 3;
    pub(super) const INVOKERS: u8 = 4;
    pub(super) const PEER_MESSAGE: u8 = 5;
    pub(super) const STREAM_OPENED: u8 = 6;
    pub(super) const ATTEMPT_ENDED: u8 = 7;
    pub(super) const PROBE_ENDED: u8 = 8;
    pub(super) const INVOCATION: u8 = 9;
    pub(super) const LOAD_ENDED: u8 = 10;
    pub(super) const START: u8 = 11;
}

/// Length of a stream-opened record after its code and controller.
const STREAM_OPENED_BYTES: usize = 17;

/// One controller.
struct Instance {
    policy: DispatchPolicy,
    /// Names of the values in a load report.
    report_fields: Vec<String>,
    class_count: usize,
}

/// All controllers of this process. They share no state.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u32, Instance>,
    reply: Reply,
}

impl Host {
    /// Handles one frame, header included, and returns the reply frame.
    pub(crate) fn frame(&mut self, frame: &[u8]) -> Result<Vec<u8>, WireError> {
        let mut fields = Fields::new(frame);
        let records = fields.u32("record count")?;
        fields.u32("frame length")?;
        let now = fields.time("clock")?;
        for number in 0..records {
            let at = fields.at();
            self.record(&mut fields, now)
                .map_err(|error| WireError::Record {
                    number,
                    at,
                    error: Box::new(error),
                })?;
        }
        if fields.at() < frame.len() {
            return Err(WireError::TrailingBytes {
                at: fields.at(),
                left: frame.len() - fields.at(),
            });
        }
        Ok(self.reply.finish())
    }

    fn record(&mut self, fields: &mut Fields, now: Ticks) -> Result<(), WireError> {
        let code = fields.u8("event code")?;
        if !(code::STOP..=code::START).contains(&code) {
            return Err(WireError::UnknownEvent(code));
        }
        let id = fields.u32("controller_id")?;
        if code == code::START {
            return self.start(id, fields, now);
        }
        let instance = self.instances.remove(&id);
        let mut instance = instance.ok_or(WireError::UnknownInstance(id))?;
        if code == code::STOP {
            return Ok(());
        }
        // A controller that panicked is dropped, because its state may be inconsistent.
        let is_intact = self.event(code, fields, now, id, &mut instance)?;
        if is_intact {
            self.instances.insert(id, instance);
        }
        Ok(())
    }

    fn start(&mut self, id: u32, fields: &mut Fields, now: Ticks) -> Result<(), WireError> {
        let seed = fields.u64("seed")?;
        let length = fields.u32("length of info")?;
        let info = fields.take(length as usize, "info")?;
        let text = std::str::from_utf8(info);
        let text = text.map_err(|error| WireError::NotUtf8(error.valid_up_to()))?;
        let settings = saltdrum_settings::parse(&SettingValues::from_lines(text)?)?;
        let (deployment, report_fields) = (settings.deployment, settings.report_fields);
        let class_count = deployment.trigger_types.len();
        let policy = self.guard(id, |actions| {
            DispatchPolicy::new(now, deployment, seed, actions)
        });
        if let Some(policy) = policy {
            let instance = Instance {
                policy,
                report_fields,
                class_count,
            };
            self.instances.insert(id, instance);
        }
        Ok(())
    }

    /// Handles one event of a controller. Returns false if it panicked.
    fn event(
        &mut self,
        code: u8,
        fields: &mut Fields,
        now: Ticks,
        id: u32,
        instance: &mut Instance,
    ) -> Result<bool, WireError> {
        let policy = &mut instance.policy;
        let done = match code {
            code::TIMER => {
                let token = fields.u64("cookie")?;
                self.guard(id, |actions| policy.timer_fired(now, token, actions))
            }
            code::CLIENT_DISCONNECTED => {
                let invocation = fields.u32("xid")?;
                self.guard(id, |actions| {
                    policy.invocation_abandoned(now, invocation, actions)
                })
            }
            code::INVOKERS => {
                let form = fields.u8("form")?;
                fields.u32("seq_no")?;
                let entries = records::invoker_records(fields)?;
                match records::list_form(form)? {
                    ListForm::Complete => {
                        self.guard(id, |_| policy.invokers_changed(now, true, &entries))
                    }
                    ListForm::Changes => {
                        self.guard(id, |_| policy.invokers_changed(now, false, &entries))
                    }
                    ListForm::Unchanged => Some(()),
                }
            }
            code::ATTEMPT_ENDED => {
                let result = records::attempt_result(fields, &instance.report_fields)?;
                self.guard(id, |actions| policy.attempt_ended(now, result, actions))
            }
            code::INVOCATION => {
                let request = records::invocation(fields, now, instance.class_count)?;
                self.guard(id, |actions| {
                    policy.invocation_arrived(now, request, actions)
                })
            }
            code::LOAD_ENDED => {
                let result = records::load_result(fields)?;
                self.guard(id, |actions| policy.load_ended(now, result, actions))
            }
            _ => Some(skip_unused(code, fields)?),
        };
        Ok(done.is_some())
    }

    /// Calls a controller. If it panics, adds a panic record to the reply and returns `None`.
    fn guard<T>(
        &mut self,
        controller: u32,
        call: impl FnOnce(&mut ActionWriter) -> T,
    ) -> Option<T> {
        let reply = &mut self.reply;
        let mut actions = ActionWriter { reply, controller };
        match catch_unwind(AssertUnwindSafe(|| call(&mut actions))) {
            Ok(done) => Some(done),
            Err(panic) => {
                let text = panic.downcast_ref::<String>().map(String::as_str);
                let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
                actions.panicked(text.unwrap_or("panic"));
                None
            }
        }
    }
}

/// Skips records of peers, streams and probes, which the policy does not use.
fn skip_unused(code: u8, fields: &mut Fields) -> Result<(), WireError> {
    match code {
        code::PEER_MESSAGE => {
            fields.u32("src_peer")?;
            let length = fields.u16("length of octets")?;
            fields.take(length.into(), "octets")?;
        }
        code::STREAM_OPENED => {
            fields.take(STREAM_OPENED_BYTES, "Established")?;
        }
        code::PROBE_ENDED => {
            fields.time("time_taken_ms")?;
            fields.u32("invoker")?;
            records::outcome(fields.u8("result")?)?;
            fields.values()?;
        }
        _ => return Err(WireError::UnknownEvent(code)),
    }
    Ok(())
}

#[cfg(test)]
mod tests;
