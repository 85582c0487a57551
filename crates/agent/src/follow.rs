//! Follows the invoker list as controllers do, for an agent that is a process of its own.

use crate::{Agent, Peer};
use bytes::BytesMut;
use saltdrum::interface::Ticks;
use saltdrum_layers::plan::Member;
use saltdrum_protocol::frame::{encode, take_frame};
use saltdrum_protocol::list::{Entry, Follow, FromList, Life};
use saltdrum_transport::{Address, Network};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tracing::info;

/// An invoker that started less than this ago is not yet home to all its chunks.
const RISES_IN_TENTHS: f64 = 100_000.0;
const RISEN_FIRST: f64 = 0.2;
/// How far the others have risen is looked at so often.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Lines of the list, and when each was heard.
type Known = BTreeMap<u32, (Entry, Ticks)>;
const AGAIN: Duration = Duration::from_millis(500);

/// For as long as it is polled. What the list last said stands while it is away.
pub async fn follow(agent: Rc<Agent>, network: Rc<dyn Network>, list: Address) {
    let mut known: Known = BTreeMap::new();
    loop {
        let why = followed(&agent, &*network, &list, &mut known).await;
        info!(%list, why, "invoker list lost; what it said stands");
        tokio::time::sleep(AGAIN).await;
    }
}

async fn followed(
    agent: &Rc<Agent>,
    network: &dyn Network,
    list: &Address,
    known: &mut Known,
) -> String {
    let Ok(mut stream) = network.dial(list).await else {
        return "no connection".into();
    };
    // Followers are told apart by their numbers; an agent must not pass for a controller.
    let (controller, incarnation) = (u32::MAX - agent.config.invoker, agent.config.seed);
    if let Err(e) = stream
        .write_all(&encode(&Follow {
            version: 1,
            controller,
            incarnation,
        }))
        .await
    {
        return e.to_string();
    }
    let mut read = BytesMut::new();
    loop {
        let message = match take_frame(&mut read) {
            Err(e) => return e.to_string(),
            Ok(Some((kind, body))) => FromList::read(kind, &body),
            Ok(None) => match tokio::time::timeout(LOOK_EVERY, stream.read_buf(&mut read)).await {
                Ok(Ok(n)) if n > 0 => continue,
                Ok(_) => return "hung up".into(),
                Err(_) => {
                    tell(agent, known);
                    continue;
                }
            },
        };
        let entries = match message {
            Ok(FromList::Whole(w)) => {
                if w.settled {
                    known.clear();
                }
                w.entries
            }
            Ok(FromList::Change(c)) => c.entries,
            Err(e) => return e.to_string(),
        };
        for e in entries {
            if known
                .get(&e.invoker)
                .is_some_and(|(k, _)| k.incarnation != e.incarnation)
            {
                agent.state.borrow_mut().fetcher.restarted(e.invoker);
            }
            match e.life {
                Life::Gone => drop(known.remove(&e.invoker)),
                _ => drop(known.insert(e.invoker, (e, agent.clock.now()))),
            }
        }
        tell(agent, known);
    }
}

fn tell(agent: &Rc<Agent>, known: &Known) {
    let now = agent.clock.now();
    let peer = |(e, heard): &(Entry, Ticks)| {
        let age = e.age_tenths + (now - heard);
        let capacity_share = (RISEN_FIRST + age as f64 / RISES_IN_TENTHS).min(1.0);
        let ready = e.life == Life::Ready;
        let member = Member {
            invoker: e.invoker,
            size: f64::from(e.size),
            capacity_share,
            ready,
        };
        Some(Peer {
            member,
            address: e.agent.as_ref()?.parse().ok()?,
        })
    };
    let peers: Vec<Peer> = known.values().filter_map(peer).collect();
    agent.update_peers(&peers);
    agent.go_on();
}
