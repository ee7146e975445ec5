//! Datagrams by which hosts ask one of them for the engine of each prompt, and tell all of a crash.
//!
//! A query gets one reply. Notes say when the answer starts and when the request ends, so that the
//! picker knows what is under way at each engine. Any datagram may be lost: a query without a reply
//! is decided by its own host, a lost note is made up for by the picker's expectation, and news of a
//! crash come again with the exchange.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use derive_more::{Display, Error, From};
use eelgrasshill_domain::{FastMap, FastSet, HostName, NameError, ZoneName};
use eelgrasshill_peer::generated as message;
use eelgrasshill_peer::generated::PartAccusation;
use eelgrasshill_peer::generated::pick_datagram::Kind;
use eelgrasshill_ports::{BootClock, lock};
use eelgrasshill_relay::{
    OrganisationHash, Pick, PromptQuery, RequestIdentity, RequestOutcome, SoftwareVersion, Ticket,
    VersionError,
};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::codec::PlatformCodec;
use crate::convert::{decode_model_key, encode_model_key, millis};
use crate::exchange::apply_accusations;
use crate::shared::Shared;
use crate::telemetry;

/// Maximum size of a datagram, which fits into one packet of any network.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Maximum number of excluded engines in a query, so that it fits into a datagram.
const MAX_EXCLUDED: usize = 16;

/// Timeout for a reply: some round trips between zones, and a busy picker.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Shortest retry time in a reply; zero says that no retry is worth it.
const MIN_RETRY_TIME: Duration = Duration::from_millis(1);

/// Pause after an error of the socket.
const ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Socket for picks, with the queries that wait for a reply.
#[derive(Debug)]
pub(crate) struct PickSocket {
    socket: UdpSocket,
    waiting: Mutex<FastMap<Ticket, oneshot::Sender<message::PickReply>>>,
}

/// A query with what only the request's host knows.
#[derive(Clone, Debug)]
pub(crate) struct HostQuery {
    pub(crate) prompt: PromptQuery,
    pub(crate) adapter: Option<eelgrasshill_domain::AdapterName>,
    /// Software version that the engine must run, if the request is bound to one.
    pub(crate) software: Option<SoftwareVersion>,
    /// Zone of the request's host.
    pub(crate) zone: ZoneName,
    /// Engines that the host does not use for the request.
    pub(crate) excluded: FastSet<HostName>,
    /// An engine that holds the model, as the host knows.
    ///
    /// It may have learned so from the lease holder just now.
    pub(crate) holder: HostName,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PickProgress {
    /// Its answer started, that long after it was sent.
    Answering {
        /// Time from sending it to the first event.
        elapsed: Duration,
    },
    /// It ended.
    Ended {
        /// Outcome at the engine, if one is known.
        outcome: Option<RequestOutcome>,
    },
}

/// A picker's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PickAnswer {
    /// The decision; none if the picker knows no engine for the request.
    Decided(Option<Pick>),
    /// The host does not pick now.
    Away,
}

/// Reason why a query cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
enum QueryError {
    /// A name is invalid.
    #[display("{_0}")]
    Name(NameError),
    /// The software version is invalid.
    #[display("{_0}")]
    Software(VersionError),
}

impl PickSocket {
    /// Binds the socket to the address for peers.
    pub(crate) fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            waiting: Mutex::default(),
        })
    }

    /// Asks a picker; returns none without a valid reply before the timeout.
    pub(crate) async fn ask(&self, picker: SocketAddr, query: &HostQuery) -> Option<PickAnswer> {
        let ticket = query.prompt.ticket;
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(ticket, sender);
        self.send(picker, Kind::Query(Box::new(encode_query(query))));
        let reply = tokio::time::timeout(REPLY_TIMEOUT, receiver).await;
        lock(&self.waiting).remove(&ticket);
        match reply {
            Ok(Ok(reply)) => decode_reply(&reply),
            Ok(Err(_)) | Err(_) => None,
        }
    }

    /// Sends a note that need not arrive.
    pub(crate) fn note(&self, picker: SocketAddr, ticket: Ticket, progress: PickProgress) {
        self.send(picker, Kind::Note(encode_note(ticket, progress)));
    }

    /// Tells other hosts of crashes.
    pub(crate) fn tell_crashes(&self, hosts: &[SocketAddr], accusations: Vec<PartAccusation>) {
        let news = Kind::Crashes(message::CrashNews { accusations });
        for host in hosts {
            self.send(*host, news.clone());
        }
    }

    fn send(&self, to: SocketAddr, kind: Kind) {
        let datagram = message::PickDatagram { kind: Some(kind) }.encode_to_vec();
        if let Err(error) = self.socket.try_send_to(&datagram, to) {
            telemetry::count_pick("unsent");
            log::debug!("picks: datagram to {to} not sent: {error}");
        }
    }
}

/// Answers queries and passes replies on until the host stops.
pub(crate) async fn serve_picks<C: PlatformCodec>(shared: Arc<Shared<C>>) {
    let Some(picks) = shared.picks() else {
        return;
    };
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while !shared.is_stopped() {
        let (length, from) = match picks.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("picks: the socket failed: {error}");
                tokio::time::sleep(ERROR_PAUSE).await;
                continue;
            }
        };
        match message::PickDatagram::decode(&buffer[..length]).map(|datagram| datagram.kind) {
            Ok(Some(kind)) => handle(&shared, picks, kind, from),
            Ok(None) => log::warn!("picks: datagram of an unknown kind from {from} skipped"),
            Err(error) => log::warn!("picks: malformed datagram from {from} skipped: {error}"),
        }
    }
}

fn handle<C: PlatformCodec>(shared: &Shared<C>, picks: &PickSocket, kind: Kind, from: SocketAddr) {
    match kind {
        Kind::Query(query) => {
            let answer = match decode_query(&query) {
                Ok(query) => answer_query(shared, &query),
                Err(error) => {
                    log::warn!("picks: malformed query from {from} skipped: {error}");
                    return;
                }
            };
            picks.send(from, Kind::Reply(encode_reply(query.ticket, answer)));
        }
        Kind::Reply(reply) => {
            // A reply after the timeout has no receiver, and neither has a repeated one.
            if let Some(sender) = lock(&picks.waiting).remove(&Ticket(reply.ticket)) {
                let _timed_out = sender.send(reply);
            }
        }
        Kind::Crashes(news) => {
            let now = BootClock.now();
            let is_news = apply_accusations(&mut shared.state(), &news.accusations, now, now);
            log::debug!(
                "peers: {} accusations from {from}, news={is_news}",
                news.accusations.len()
            );
        }
        Kind::Note(note) => {
            let progress = decode_note(&note);
            shared
                .state()
                .note_pick(Ticket(note.ticket), progress, BootClock.now());
        }
    }
}

/// Decides on a request of any host.
pub(crate) fn answer_query<C: PlatformCodec>(shared: &Shared<C>, query: &HostQuery) -> PickAnswer {
    let now = BootClock.now();
    if shared.leaving().is_some() || !shared.can_serve(now) {
        return PickAnswer::Away;
    }
    PickAnswer::Decided(shared.state().pick(query, now))
}

fn encode_note(ticket: Ticket, progress: PickProgress) -> message::PickNote {
    use message::PickOutcome;
    let (elapsed, outcome) = match progress {
        PickProgress::Answering { elapsed } => (Some(elapsed), PickOutcome::Unknown),
        PickProgress::Ended { outcome } => {
            let outcome = match outcome {
                None => PickOutcome::Unknown,
                Some(RequestOutcome::Success) => PickOutcome::Success,
                Some(RequestOutcome::Full) => PickOutcome::Full,
                // The host may be cut off from an engine that others reach.
                Some(RequestOutcome::Failed | RequestOutcome::Unreachable) => PickOutcome::Failure,
            };
            (None, outcome)
        }
    };
    message::PickNote {
        ticket: ticket.0,
        elapsed: elapsed.map(millis).unwrap_or_default(),
        ended: elapsed.is_none(),
        outcome: outcome.into(),
    }
}

fn decode_note(note: &message::PickNote) -> PickProgress {
    use message::PickOutcome;
    if !note.ended {
        let elapsed = Duration::from_millis(note.elapsed);
        return PickProgress::Answering { elapsed };
    }
    let outcome = match note.outcome() {
        PickOutcome::Unknown => None,
        PickOutcome::Success => Some(RequestOutcome::Success),
        PickOutcome::Failure => Some(RequestOutcome::Failed),
        PickOutcome::Full => Some(RequestOutcome::Full),
    };
    PickProgress::Ended { outcome }
}

fn encode_query(query: &HostQuery) -> message::PickQuery {
    let prompt = &query.prompt;
    message::PickQuery {
        ticket: prompt.ticket.0,
        asked: Some(encode_model_key(&eelgrasshill_relay::ModelKey {
            pool: prompt.pool.clone(),
            model: prompt.model.clone(),
            adapter: query.adapter.clone(),
        })),
        rank: u32::from(prompt.rank),
        tokens: prompt.tokens,
        objective: millis(prompt.objective),
        elapsed: millis(prompt.elapsed),
        interruption: millis(prompt.max_interruption),
        remaining: millis(prompt.remaining),
        patience: millis(prompt.patience),
        identity: prompt.identity.map_or(0, |identity| identity.0),
        organisation: prompt.organisation.map_or(0, |organisation| organisation.0),
        output_tokens: prompt.output_tokens,
        software: query.software.as_ref().map(ToString::to_string),
        zone: query.zone.to_string(),
        holder: query.holder.to_string(),
        excluded: query
            .excluded
            .iter()
            .take(MAX_EXCLUDED)
            .map(ToString::to_string)
            .collect(),
    }
}

fn decode_query(query: &message::PickQuery) -> Result<HostQuery, QueryError> {
    let model_key = decode_model_key(&query.asked.clone().unwrap_or_default())?;
    let software = query.software.as_deref().map(SoftwareVersion::new);
    let excluded: Result<_, _> = query.excluded.iter().map(|id| HostName::new(id)).collect();
    Ok(HostQuery {
        prompt: PromptQuery {
            ticket: Ticket(query.ticket),
            pool: model_key.pool,
            model: model_key.model,
            rank: u8::try_from(query.rank).unwrap_or(u8::MAX),
            tokens: query.tokens,
            objective: Duration::from_millis(query.objective),
            elapsed: Duration::from_millis(query.elapsed),
            max_interruption: Duration::from_millis(query.interruption),
            remaining: Duration::from_millis(query.remaining),
            patience: Duration::from_millis(query.patience),
            identity: (query.identity != 0).then_some(RequestIdentity(query.identity)),
            organisation: (query.organisation != 0).then_some(OrganisationHash(query.organisation)),
            output_tokens: query.output_tokens,
        },
        adapter: model_key.adapter,
        software: software.transpose()?,
        zone: ZoneName::new(&query.zone)?,
        excluded: excluded?,
        holder: HostName::new(&query.holder)?,
    })
}

fn encode_reply(ticket: u64, answer: PickAnswer) -> message::PickReply {
    use message::PickVerdict;
    let (verdict, engine, after) = match answer {
        PickAnswer::Away => (PickVerdict::Away, String::new(), Duration::ZERO),
        PickAnswer::Decided(None) => (PickVerdict::None, String::new(), Duration::ZERO),
        PickAnswer::Decided(Some(Pick::Send { engine, wait })) => {
            (PickVerdict::Send, engine.to_string(), wait)
        }
        PickAnswer::Decided(Some(Pick::Wait { after })) => {
            (PickVerdict::Wait, String::new(), after)
        }
        PickAnswer::Decided(Some(Pick::Reject { after })) => (
            PickVerdict::Reject,
            String::new(),
            after.max(MIN_RETRY_TIME),
        ),
        PickAnswer::Decided(Some(Pick::Decline)) => {
            (PickVerdict::Reject, String::new(), Duration::ZERO)
        }
    };
    message::PickReply {
        ticket,
        verdict: verdict.into(),
        engine,
        after: millis(after),
    }
}

fn decode_reply(reply: &message::PickReply) -> Option<PickAnswer> {
    use message::PickVerdict;
    let after = Duration::from_millis(reply.after);
    let pick = match PickVerdict::try_from(reply.verdict) {
        Ok(PickVerdict::None) => None,
        Ok(PickVerdict::Away) => return Some(PickAnswer::Away),
        Ok(PickVerdict::Wait) => Some(Pick::Wait { after }),
        Ok(PickVerdict::Reject) if after.is_zero() => Some(Pick::Decline),
        Ok(PickVerdict::Reject) => Some(Pick::Reject { after }),
        Ok(PickVerdict::Send) => match HostName::new(&reply.engine) {
            Ok(engine) => Some(Pick::Send {
                engine,
                wait: after,
            }),
            Err(error) => {
                log::warn!("picks: malformed reply skipped: {error}");
                return None;
            }
        },
        Err(error) => {
            log::warn!("picks: reply with an unknown verdict skipped: {error}");
            return None;
        }
    };
    Some(PickAnswer::Decided(pick))
}
