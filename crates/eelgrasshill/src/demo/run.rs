//! Runs the demo: starts a deployment, prints an answer as it streams, and waits.

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

/// Tokens of the demo's answer.
const TOKENS: u64 = 60;

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

/// Runs the demo and returns the last words.
pub(crate) async fn demo(arguments: Demo) -> Result<String, CommandError> {
    let settings = DeploymentSettings {
        listen: arguments.listen,
        ..DeploymentSettings::new(arguments.example)
    };
    println!("starting 3 zones with one entry host each, 15 engines and the platform");
    let deployment = Deployment::start(settings).await?;
    let (organisation, model, question) = arguments.example.question();
    let key = deployment.issue_key(organisation).await?;
    println!("{organisation} asks {model}: {question}");
    println!("(the model is loaded on demand, which takes a few seconds)");
    let body = json!({
        "model": model,
        "messages": [{ "role": "user", "content": question }],
        "max_tokens": TOKENS,
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
    let graceful = deployment.drain();
    Ok(if graceful {
        "all hosts ended in good order\n"
    } else {
        "a host was cut off\n"
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
        Err(error) => return Err(refused(0, error.to_string())),
    };
    let status = response.status();
    if !status.is_success() {
        let body = response.body().await.unwrap_or_default();
        return Err(refused(
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
            return Err(refused(200, chunk.to_string()));
        }
        let text = chunk["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
        print!("{text}");
        // A terminal that is gone does not concern the answer.
        let _gone = out.flush();
    }
    println!();
    Ok(())
}

fn refused(status: u16, body: String) -> CommandError {
    CommandError::Refused { status, body }
}
