//! Follows the endpoint list as controllers do, for an agent that runs as a separate process.

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

/// Ticks (10 s) over which the capacity share rises by 1. From its initial share of 0.2, an invoker is home to all its
/// chunks after 8 s.
const WARMUP_TICKS: f64 = 100_000.0;
const INITIAL_CAPACITY_SHARE: f64 = 0.2;
/// Interval at which capacity shares are recalculated while the list does not change.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// List entries by invoker, with the time each was received.
type KnownInvokers = BTreeMap<u32, (Entry, Ticks)>;
/// Delay before reconnecting to the list.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Follows the list for as long as it is polled. The last known entries stay in use while the list is unreachable.
pub async fn follow(agent: Rc<Agent>, network: Rc<dyn Network>, list: Address) {
    let mut known: KnownInvokers = BTreeMap::new();
    loop {
        let why = follow_until_disconnected(&agent, &*network, &list, &mut known).await;
        info!(%list, why, "endpoint list connection lost; last known entries stay in use");
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn follow_until_disconnected(
    agent: &Rc<Agent>,
    network: &dyn Network,
    list: &Address,
    known: &mut KnownInvokers,
) -> String {
    let Ok(mut stream) = network.dial(list).await else {
        return "no connection".into();
    };
    // The list identifies followers by number: counting down from the top keeps agents apart from controllers.
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
    let mut buffer = BytesMut::new();
    loop {
        let message = match take_frame(&mut buffer) {
            Err(e) => return e.to_string(),
            Ok(Some((kind, body))) => FromList::read(kind, &body),
            Ok(None) => {
                match tokio::time::timeout(UPDATE_INTERVAL, stream.read_buf(&mut buffer)).await {
                    Ok(Ok(n)) if n > 0 => continue,
                    Ok(_) => return "connection closed".into(),
                    Err(_) => {
                        update_peers(agent, known);
                        continue;
                    }
                }
            }
        };
        let entries = match message {
            Ok(FromList::Whole(snapshot)) => {
                if snapshot.settled {
                    known.clear();
                }
                snapshot.entries
            }
            Ok(FromList::Change(change)) => change.entries,
            Err(e) => return e.to_string(),
        };
        for entry in entries {
            if known
                .get(&entry.invoker)
                .is_some_and(|(known_entry, _)| known_entry.incarnation != entry.incarnation)
            {
                agent
                    .state
                    .borrow_mut()
                    .fetcher
                    .peer_restarted(entry.invoker);
            }
            match entry.life {
                Life::Gone => drop(known.remove(&entry.invoker)),
                _ => drop(known.insert(entry.invoker, (entry, agent.clock.now()))),
            }
        }
        update_peers(agent, known);
    }
}

fn update_peers(agent: &Rc<Agent>, known: &KnownInvokers) {
    let now = agent.clock.now();
    let peer = |(entry, received_at): &(Entry, Ticks)| {
        let age = entry.age_tenths + (now - received_at);
        let capacity_share = (INITIAL_CAPACITY_SHARE + age as f64 / WARMUP_TICKS).min(1.0);
        let ready = entry.life == Life::Ready;
        let member = Member {
            invoker: entry.invoker,
            size: f64::from(entry.size),
            capacity_share,
            ready,
        };
        Some(Peer {
            member,
            address: entry.agent.as_ref()?.parse().ok()?,
        })
    };
    let peers: Vec<Peer> = known.values().filter_map(peer).collect();
    agent.update_peers(&peers);
    agent.advance();
}
