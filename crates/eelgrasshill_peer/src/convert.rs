//! Conversions between the generated messages and the types of the other crates.
//!
//! A message that lacks a required field or has an invalid name or address is rejected as a whole.
//! Some fields have other names on the wire: there, the lender is `home`, the least and the
//! greatest amount are `least` and `most`, and `held_until` is `until`.

use std::net::{AddrParseError, SocketAddr};

use derive_more::{Display, Error, From};
use eelgrasshill_control::{Heartbeat, Process as HostProcess};
use eelgrasshill_domain::{HostName, Incarnation, Moment, NameError, Offset, OrgName, ZoneName};
use eelgrasshill_limit::{Amount, BorrowReply, BorrowRequest, LoanUsage, Process};

use crate::generated as wire;

/// The reason why a message from a peer is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum ConvertError {
    /// The message contains an invalid name.
    #[display("{_0}")]
    Name(NameError),
    /// The message contains an invalid address.
    #[display("{_0}")]
    Address(AddrParseError),
    /// The message lacks a required field.
    #[from(skip)]
    #[display("the message has no {field}")]
    Missing {
        /// The name of the missing field.
        field: &'static str,
    },
}

impl From<&Heartbeat> for wire::Heartbeat {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self {
            host: heartbeat.host.to_string(),
            zone: heartbeat.zone.to_string(),
            address: heartbeat.process.address.to_string(),
            incarnation: heartbeat.process.incarnation.0,
            offset: heartbeat.offset.0,
            age: u64::try_from(heartbeat.tables_age.as_millis()).unwrap_or(u64::MAX),
            leaving: heartbeat.leaving,
        }
    }
}

impl TryFrom<wire::Heartbeat> for Heartbeat {
    type Error = ConvertError;

    fn try_from(heartbeat: wire::Heartbeat) -> Result<Self, ConvertError> {
        let address: SocketAddr = heartbeat.address.parse()?;
        Ok(Self {
            host: HostName::new(&heartbeat.host)?,
            zone: ZoneName::new(&heartbeat.zone)?,
            process: HostProcess {
                address,
                incarnation: Incarnation(heartbeat.incarnation),
            },
            offset: Offset(heartbeat.offset),
            tables_age: std::time::Duration::from_millis(heartbeat.age),
            leaving: heartbeat.leaving,
        })
    }
}

impl From<&Process> for wire::Process {
    fn from(process: &Process) -> Self {
        Self {
            host: process.host.to_string(),
            incarnation: process.incarnation.0,
        }
    }
}

fn convert_process(
    process: Option<wire::Process>,
    field: &'static str,
) -> Result<Process, ConvertError> {
    let process = process.ok_or(ConvertError::Missing { field })?;
    Ok(Process {
        host: HostName::new(&process.host)?,
        incarnation: Incarnation(process.incarnation),
    })
}

impl From<&LoanUsage> for wire::LoanUsage {
    fn from(usage: &LoanUsage) -> Self {
        Self {
            granted: usage.granted_at.0,
            until: usage.held_until.0,
            spent: usage.spent.0,
            unspent: usage.unspent.0,
            refund: usage.refund.0,
        }
    }
}

impl From<wire::LoanUsage> for LoanUsage {
    fn from(usage: wire::LoanUsage) -> Self {
        Self {
            granted_at: Moment(usage.granted),
            held_until: Moment(usage.until),
            spent: Amount(usage.spent),
            unspent: Amount(usage.unspent),
            refund: Amount(usage.refund),
        }
    }
}

impl From<&BorrowRequest> for wire::BorrowRequest {
    fn from(request: &BorrowRequest) -> Self {
        Self {
            organisation: request.organisation.to_string(),
            home: Some((&request.lender).into()),
            borrower: Some((&request.borrower).into()),
            number: request.number,
            accepted: request.last_accepted,
            least: request.min_amount.0,
            most: request.max_amount.0,
            queue: request.queue,
            usage: request.usage.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::BorrowRequest> for BorrowRequest {
    type Error = ConvertError;

    fn try_from(request: wire::BorrowRequest) -> Result<Self, ConvertError> {
        Ok(Self {
            organisation: OrgName::new(&request.organisation)?,
            lender: convert_process(request.home, "home")?,
            borrower: convert_process(request.borrower, "borrower")?,
            number: request.number,
            last_accepted: request.accepted,
            min_amount: Amount(request.least),
            max_amount: Amount(request.most),
            queue: request.queue,
            usage: request.usage.into_iter().map(Into::into).collect(),
        })
    }
}

impl From<&BorrowReply> for wire::BorrowReply {
    fn from(reply: &BorrowReply) -> Self {
        Self {
            organisation: reply.organisation.to_string(),
            home: Some((&reply.lender).into()),
            borrower: Some((&reply.borrower).into()),
            number: reply.number,
            amount: reply.amount.0,
            granted: reply.granted_at.0,
            until: reply.held_until.0,
            level: reply.level.0,
            retry: u64::try_from(reply.retry_after.as_millis()).unwrap_or(u64::MAX),
            answered: true,
        }
    }
}

impl TryFrom<wire::BorrowReply> for BorrowReply {
    type Error = ConvertError;

    fn try_from(reply: wire::BorrowReply) -> Result<Self, ConvertError> {
        if !reply.answered {
            // The callee is not the lender, or has already handled a newer request.
            return Err(ConvertError::Missing { field: "answer" });
        }
        Ok(Self {
            organisation: OrgName::new(&reply.organisation)?,
            lender: convert_process(reply.home, "home")?,
            borrower: convert_process(reply.borrower, "borrower")?,
            number: reply.number,
            amount: Amount(reply.amount),
            granted_at: Moment(reply.granted),
            held_until: Moment(reply.until),
            level: Amount(reply.level),
            retry_after: std::time::Duration::from_millis(reply.retry),
        })
    }
}
