//! Encodes a controller's actions as records of the reply.

use crate::codec::Reply;
use saltdrum::interface::{Actions, FunctionId, InvocationId, InvokerId, Ticks};

/// Codes of the wire's action records.
mod code {
    pub(super) const DISPATCH: u8 = 1;
    pub(super) const THROTTLE: u8 = 2;
    pub(super) const ERROR: u8 = 3;
    pub(super) const CANCEL: u8 = 4;
    pub(super) const TIMER: u8 = 5;
    pub(super) const PROBE: u8 = 6;
    pub(super) const LOG: u8 = 9;
    pub(super) const PANIC: u8 = 10;
    pub(super) const LOAD: u8 = 13;
    pub(super) const UNLOAD: u8 = 14;
}

/// Writes one controller's actions into the reply.
pub(crate) struct ActionWriter<'a> {
    pub(crate) reply: &'a mut Reply,
    pub(crate) controller: u32,
}

impl ActionWriter<'_> {
    fn record(&mut self, code: u8) -> &mut Reply {
        self.reply.record(code, self.controller)
    }

    /// Reports that the controller panicked.
    pub(crate) fn panicked(&mut self, text: &str) {
        self.record(code::PANIC).text(text);
    }
}

impl Actions for ActionWriter<'_> {
    fn dispatch(&mut self, invocation: InvocationId, invoker: InvokerId, timeout: Ticks) {
        let record = self.record(code::DISPATCH);
        let record = record.put(&invocation.to_le_bytes());
        record.put(&invoker.to_le_bytes()).time(timeout);
    }

    fn throttle(&mut self, invocation: InvocationId, retry_after: Ticks) {
        let record = self.record(code::THROTTLE);
        record.put(&invocation.to_le_bytes()).time(retry_after);
    }

    fn error(&mut self, invocation: InvocationId) {
        self.record(code::ERROR).put(&invocation.to_le_bytes());
    }

    fn cancel(&mut self, invocation: InvocationId, attempt: u8) {
        let record = self.record(code::CANCEL);
        record.put(&invocation.to_le_bytes()).put(&[attempt]);
    }

    fn load(&mut self, invoker: InvokerId, function: FunctionId, count: u8) {
        let record = self.record(code::LOAD);
        let record = record.put(&function.to_le_bytes()).put(&[count]);
        record.put(&invoker.to_le_bytes());
    }

    fn unload(&mut self, invoker: InvokerId, function: FunctionId) {
        let record = self.record(code::UNLOAD).put(&invoker.to_le_bytes());
        record.put(&function.to_le_bytes());
    }

    fn probe(&mut self, invoker: InvokerId) {
        self.record(code::PROBE).put(&invoker.to_le_bytes());
    }

    fn set_timer(&mut self, at: Ticks, token: u64) {
        let record = self.record(code::TIMER).time(at);
        record.put(&token.to_le_bytes());
    }

    fn log(&mut self, text: &str) {
        self.record(code::LOG).text(text);
    }
}
