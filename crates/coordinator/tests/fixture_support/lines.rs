//! Both ends of a line of JSON-RPC, for tests that look at the very text that is sent.

#![allow(dead_code, reason = "each package uses a part of it")]

use saltdrum_coordinator::wire::{Envelope, version_of};
use saltdrum_protocol::rpc::{self, Call, Line};
use saltdrum_transport::{Address, Network, Stream};
use serde::Serialize;
use std::future::Future;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::task::{JoinHandle, LocalSet};

/// Runs a test on a thread of its own runtime.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test)
}

/// An address in the memory of this test.
pub fn memory(name: &str) -> Address {
    Address::Memory(name.into())
}

/// One end of a connection, which sends and reads lines as they are.
pub struct RawLine(BufReader<Stream>);

impl RawLine {
    pub async fn dial(network: &Rc<dyn Network>, at: &Address) -> Self {
        Self(BufReader::new(network.dial(at).await.unwrap()))
    }

    /// The next line that comes, without its line break.
    pub async fn read(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).await.unwrap();
        line.trim_end().to_owned()
    }

    pub async fn write(&mut self, line: &str) {
        self.0
            .get_mut()
            .write_all(format!("{line}\n").as_bytes())
            .await
            .unwrap();
    }

    /// Sends a line and gives the next that comes.
    pub async fn exchange(&mut self, line: &str) -> String {
        self.write(line).await;
        self.read().await
    }
}

/// Takes one connection in and answers each line with the next answer. Gives the lines that came.
pub async fn scripted_server(
    network: &Rc<dyn Network>,
    at: &Address,
    answers: Vec<String>,
) -> JoinHandle<Vec<String>> {
    let (mut listener, _) = network.listen(at).await.unwrap();
    tokio::task::spawn_local(async move {
        let mut line = RawLine(BufReader::new(listener.accept().await.unwrap()));
        let mut came = Vec::new();
        for answer in answers {
            came.push(line.read().await);
            line.write(&answer).await;
        }
        came
    })
}

/// A call as the stewards' messages are sent, with the fleet and the version of the messages.
pub fn call_line(id: u64, fleet: &str, method: &str, what: &impl Serialize) -> String {
    let said = Envelope {
        fleet: fleet.to_owned(),
        version: version_of(method),
        params: what,
    };
    plain_call_line(id, method, &said)
}

/// A call with these parameters.
pub fn plain_call_line(id: u64, method: &str, params: &impl Serialize) -> String {
    let params = serde_json::to_string(params).unwrap();
    format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"{method}","params":{params}}}"#)
}

/// An answer that tells a result.
pub fn result_line(id: u64, result: &impl Serialize) -> String {
    let result = serde_json::to_string(result).unwrap();
    format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{result}}}"#)
}

/// A line as it is read by whoever is called.
pub fn read_call(line: &str) -> Call {
    match rpc::parse_line(line.as_bytes()) {
        Ok(Line::Single(Ok(call))) => call,
        other => panic!("{line}: {other:?}"),
    }
}

/// An answer without what is written for people alone: of an error the code remains.
pub fn without_prose(answer: &str) -> String {
    let reply: rpc::Reply = serde_json::from_str(answer).unwrap();
    match reply.error {
        Some(error) => format!("error {}", error.code),
        None => answer.to_owned(),
    }
}
