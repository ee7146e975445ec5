//! The demo command: starts a deployment, prints a streamed answer and waits for a signal.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use awc::ClientResponse;
use eelgrasshill_domain::KeyText;
use eelgrasshill_entry::wait_for_stop_async;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde_json::{Value, json};

use crate::{CommandError, Deployment, DeploymentSettings, Example};

/// The maximum number of tokens in the answer of the demo.
const MAX_ANSWER_TOKENS: u64 = 60;

/// The status of a refusal if no answer arrived.
const NO_ANSWER_STATUS: u16 = 0;

/// The status of a stream that ends with an error event.
const STREAM_STATUS: u16 = 200;

/// Runs a whole deployment in this process on stand-ins and asks it a question.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct Demo {
    /// lakeshore or kjallaravakt
    #[argh(option, default = "Example::Kjallaravakt")]
    example: Example,
    /// address for curl
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    listen: SocketAddr,
    /// end after the answer instead of waiting for a signal
    #[argh(switch)]
    once: bool,
}

/// Runs the demo and returns its final message.
pub(crate) async fn demo(arguments: Demo) -> Result<String, CommandError> {
    let settings = DeploymentSettings {
        listen: arguments.listen,
        ..DeploymentSettings::new(arguments.example)
    };
    // Both examples have these numbers.
    println!("starting 3 zones with one entry host each, 15 engines and the platform");
    let deployment = Deployment::start(settings).await?;
    let (organisation, model, question) = arguments.example.demo_request();
    let key = deployment.issue_key(organisation).await?;
    println!("{organisation} asks {model}: {question}");
    println!("(the model is loaded on demand, which takes a few seconds)");
    let body = json!({
        "model": model,
        "messages": [{ "role": "user", "content": question }],
        "max_tokens": MAX_ANSWER_TOKENS,
        "stream": true,
    });
    stream_answer(deployment.address(0), &key, &body).await?;
    if !arguments.once {
        println!("\ntry it, and stop with Ctrl-C:\n");
        println!(
            "  curl -N http://{}/v1/chat/completions \\",
            deployment.address(0)
        );
        println!("    -H 'Authorization: Bearer {}' \\", key.reveal());
        println!("    -d '{body}'\n");
        wait_for_stop_async().await;
    }
    let is_graceful = deployment.drain();
    Ok(if is_graceful {
        "all hosts finished their requests and stopped\n"
    } else {
        "a host did not finish its requests in time\n"
    }
    .to_owned())
}

async fn stream_answer(
    address: SocketAddr,
    key: &KeyText,
    body: &Value,
) -> Result<(), CommandError> {
    let client = awc::Client::builder()
        .timeout(Duration::from_mins(1))
        .finish();
    let sent = client
        .post(format!("http://{address}/v1/chat/completions"))
        .insert_header(("authorization", format!("Bearer {}", key.reveal())))
        .send_json(body)
        .await;
    let mut response = match sent {
        Ok(response) => response,
        Err(error) => return Err(refusal(NO_ANSWER_STATUS, error.to_string())),
    };
    let status = response.status();
    if !status.is_success() {
        let body = response.body().await.unwrap_or_default();
        return Err(refusal(
            status.as_u16(),
            String::from_utf8_lossy(&body).into_owned(),
        ));
    }
    print_events(response).await
}

async fn print_events(response: ClientResponse) -> Result<(), CommandError> {
    let mut events = response.eventsource();
    let mut out = std::io::stdout();
    while let Some(Ok(event)) = events.next().await {
        let Ok(chunk) = serde_json::from_str::<Value>(&event.data) else {
            break;
        };
        if chunk["error"].is_object() {
            return Err(refusal(STREAM_STATUS, chunk.to_string()));
        }
        let text = chunk["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
        print!("{text}");
        // A closed terminal must not interrupt the answer.
        let _closed = out.flush();
    }
    println!();
    Ok(())
}

fn refusal(status: u16, body: String) -> CommandError {
    CommandError::Refused { status, body }
}
