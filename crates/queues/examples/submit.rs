//! Submits a job through a queue and prints its final answer: `submit HOST PORT USER PASSWORD QUEUE < job.json`.

use amqprs::BasicProperties;
use amqprs::channel::{BasicConsumeArguments, BasicPublishArguments, QueueDeclareArguments};
use amqprs::connection::{Connection, OpenConnectionArguments};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

const ANSWER_QUEUE: &str = "my.answers";
const USAGE: &str = "submit HOST PORT USER PASSWORD QUEUE < job.json";

/// Submits `job` through `queue` and returns its final answer.
///
/// # Errors
///
/// If the broker cannot be reached, or the connection ends before the answer arrives.
pub async fn submit(
    login: &OpenConnectionArguments,
    queue: &str,
    job: Vec<u8>,
) -> Result<String, AnyError> {
    let connection = Connection::open(login).await?;
    let channel = connection.open_channel(None).await?;
    channel
        .queue_declare(QueueDeclareArguments::durable_client_named(ANSWER_QUEUE))
        .await?;
    let consume = BasicConsumeArguments::new(ANSWER_QUEUE, "me")
        .auto_ack(true)
        .finish();
    let (_, mut answers) = channel.basic_consume_rx(consume).await?;
    let mut properties = BasicProperties::default();
    // Messages with the same message_id are the same job, however often they are sent.
    properties
        .with_reply_to(ANSWER_QUEUE)
        .with_correlation_id("1")
        .with_message_id("notice-1")
        .with_persistence(true);
    channel
        .basic_publish(properties, job, BasicPublishArguments::new("", queue))
        .await?;
    loop {
        let answer = answers.recv().await.and_then(|answer| answer.content);
        let text = String::from_utf8(answer.ok_or("the connection ended")?)?;
        if text.contains(r#""final":true"#) {
            return Ok(text);
        }
    }
}

#[allow(dead_code, reason = "a test includes this file and calls submit")]
#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), AnyError> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [host, port, user, password, queue] = args.as_slice() else {
        return Err(USAGE.into());
    };
    let job = std::io::read_to_string(std::io::stdin())?;
    let login = OpenConnectionArguments::new(host, port.parse()?, user, password);
    println!("{}", submit(&login, queue, job.into_bytes()).await?);
    Ok(())
}
