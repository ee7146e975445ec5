//! A bounded record of the requests that reached an upstream.
//!
//! Tests search it to check what the gateway forwards and what it must not.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use actix_web::HttpRequest;
use eelgrasshill_domain::record;

use crate::sync::lock;

/// Maximum number of calls kept; the oldest are dropped first.
const MAX_CALLS: usize = 4096;
/// Maximum number of bytes kept of each body.
const MAX_RECORDED_BODY_BYTES: usize = 16 << 10;

record! {
    /// A request as an upstream received it.
    pub struct RecordedCall {
        /// The HTTP method.
        pub method: String,
        /// The path and the query.
        pub path: String,
        /// The headers, sorted by name.
        pub headers: Vec<(String, String)>,
        /// The first 16 KiB of the body, with invalid UTF-8 replaced.
        pub body: String,
    }
}

impl RecordedCall {
    /// Returns whether the path, body or headers contain a text.
    #[must_use]
    pub fn contains(&self, text: &str) -> bool {
        self.path.contains(text)
            || self.body.contains(text)
            || self
                .headers
                .iter()
                .any(|(name, value)| name.contains(text) || value.contains(text))
    }
}

/// The most recent requests that an upstream received.
#[derive(Clone, Debug, Default)]
pub struct RecordedCalls {
    calls: Arc<Mutex<VecDeque<RecordedCall>>>,
}

impl RecordedCalls {
    /// Returns the recorded calls, oldest first.
    #[must_use]
    pub fn list(&self) -> Vec<RecordedCall> {
        lock(&self.calls).iter().cloned().collect()
    }

    /// Returns whether any recorded call contains a text.
    #[must_use]
    pub fn any_contains(&self, text: &str) -> bool {
        lock(&self.calls).iter().any(|call| call.contains(text))
    }

    pub(crate) fn record(&self, request: &HttpRequest, body: &[u8]) {
        let mut headers: Vec<(String, String)> = request
            .headers()
            .iter()
            .map(|(name, value)| {
                let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
                (name.to_string(), value)
            })
            .collect();
        headers.sort();
        let body_prefix = body.get(..MAX_RECORDED_BODY_BYTES).unwrap_or(body);
        let call = RecordedCall {
            method: request.method().to_string(),
            path: request.uri().to_string(),
            headers,
            body: String::from_utf8_lossy(body_prefix).into_owned(),
        };
        let mut calls = lock(&self.calls);
        if calls.len() == MAX_CALLS {
            calls.pop_front();
        }
        calls.push_back(call);
    }
}
