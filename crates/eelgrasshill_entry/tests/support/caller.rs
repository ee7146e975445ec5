//! Sends chat requests and plain calls to entry hosts.

use std::time::Duration;

use serde_json::{Value, json};

/// A response as the caller received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status; zero without a response.
    pub status: u16,
    /// The value of the `Eelgrasshill-Run` header.
    pub run: String,
    pub body: String,
}

impl Reply {
    /// Returns the joined text of a stream's events.
    pub fn text(&self) -> String {
        self.events()
            .filter_map(|event| serde_json::from_str::<Value>(event).ok())
            .map(|event| {
                let text = event["choices"][0]["delta"]["content"].as_str();
                text.unwrap_or_default().to_owned()
            })
            .collect()
    }

    /// Returns the data of each event of a stream.
    pub fn events(&self) -> impl Iterator<Item = &str> {
        self.body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
    }

    /// Returns whether a stream is complete.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.events().last() == Some("[DONE]")
    }

    /// Returns the code of an error response.
    pub fn code(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// Sends one request and reads the whole response.
pub async fn call(url: &str, key: Option<&str>, headers: &[(&str, &str)], body: String) -> Reply {
    let client = awc::Client::builder()
        .timeout(Duration::from_mins(1))
        .finish();
    let mut request = client.post(url);
    if let Some(key) = key {
        request = request.insert_header(("authorization", format!("Bearer {key}")));
    }
    for (name, value) in headers {
        request = request.insert_header((*name, *value));
    }
    let Ok(mut response) = request.send_body(body).await else {
        // Tests read status 0 as "no response".
        return Reply::default();
    };
    let run = response.headers().get("eelgrasshill-run");
    let run = run
        .map(|value| value.to_str().unwrap().to_owned())
        .unwrap_or_default();
    let status = response.status().as_u16();
    let mut body = Vec::new();
    while let Some(Ok(part)) = futures_util::StreamExt::next(&mut response).await {
        body.extend_from_slice(&part);
    }
    Reply {
        status,
        run,
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

/// Requests a streamed chat completion.
pub async fn chat(url: &str, key: Option<&str>, model: &str, prompt: &str, tokens: u64) -> Reply {
    let body = json!({
        "model": model, "messages": prompt, "max_tokens": tokens, "stream": true,
    });
    let url = format!("{url}/v1/chat/completions");
    call(&url, key, &[], body.to_string()).await
}

/// Sends a call with an idempotency key, and with a cookie that must not be forwarded.
///
/// The cookie holds the API key.
pub async fn book(url: &str, key: &str, idempotency: &str, body: &str) -> Reply {
    let headers = [("idempotency-key", idempotency), ("cookie", key)];
    call(url, Some(key), &headers, body.to_owned()).await
}
