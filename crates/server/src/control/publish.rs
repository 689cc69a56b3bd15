//! Publications: validated as a whole, then committed by compare-and-set on the generation.

use poplarspan_objects::{Change, ObjectSet, Record};
use poplarspan_proto::{
    ledger::{self, catalog_answer, catalog_command},
    peer::{self, FailureCode},
};

use super::{Control, failed};
use crate::membership::{decode_change, encode_change};

impl Control {
    /// Executes a publication. Validates the objects again, since the sender may run an older
    /// version.
    pub(crate) async fn publish(
        &self,
        publish: peer::Publish,
    ) -> Result<peer::PublishResult, peer::Failure> {
        self.leader_read_barrier().await?;
        let operator = self.operator(&publish.operator_key)?;
        if publish.request_id.is_empty() {
            return Err(failed(FailureCode::Invalid, "the request id is empty"));
        }
        let target = decode_object_set(&publish.objects)?;
        let (generation, current) = self.current_objects()?;
        if generation < publish.expected_generation {
            // Not proposed: if another publication created the expected generation before this one
            // is applied, this one would be accepted without its changes.
            let message = format!(
                "generation {} does not exist: {generation} is current",
                publish.expected_generation
            );
            return Err(failed(FailureCode::Invalid, &message));
        }
        // With an older expected generation, the publication either fails or is a retry of an
        // earlier one. The changes are not used in either case.
        let changes = if generation == publish.expected_generation {
            current.diff(&target).iter().map(catalog_change).collect()
        } else {
            Vec::new()
        };
        let command = ledger::Publish {
            expected_generation: publish.expected_generation,
            request_id: publish.request_id,
            operator,
            changes,
            content_digest: target.content_digest().to_vec().into(),
        };
        let answer = self.commit(catalog_command::Command::Publish(command)).await?;
        self.publish_result(answer)
    }

    fn publish_result(
        &self,
        answer: catalog_answer::Answer,
    ) -> Result<peer::PublishResult, peer::Failure> {
        match answer {
            catalog_answer::Answer::Published(published) => Ok(peer::PublishResult {
                accepted: true,
                generation: published.generation,
                winner: String::new(),
                in_force: self.leases().in_force(published.generation),
            }),
            catalog_answer::Answer::Conflict(conflict) => Ok(peer::PublishResult {
                accepted: false,
                generation: conflict.generation,
                winner: conflict.operator,
                in_force: false,
            }),
            catalog_answer::Answer::RequestMismatch(_) => Err(failed(
                FailureCode::Invalid,
                "the request id was used before for another publication",
            )),
            catalog_answer::Answer::Invalid(invalid) => {
                Err(failed(FailureCode::Invalid, &invalid.message))
            }
            _ => Err(failed(FailureCode::Invalid, "unexpected answer of the state machine")),
        }
    }

    /// Returns the current generation and objects to an operator.
    pub(crate) async fn objects(&self, key: &str) -> Result<peer::ObjectsReply, peer::Failure> {
        self.leader_read_barrier().await?;
        self.operator(key)?;
        let (generation, objects) = self.current_objects()?;
        let all = ObjectSet::default().diff(&objects);
        Ok(peer::ObjectsReply { generation, objects: all.iter().map(encode_change).collect() })
    }
}

fn decode_object_set(objects: &[peer::Change]) -> Result<ObjectSet, peer::Failure> {
    let records = objects
        .iter()
        .map(|change| match decode_change(change)? {
            Change::Upsert(record) => Ok(record),
            Change::Remove { .. } => anyhow::bail!("a published set holds no removals"),
        })
        .collect::<anyhow::Result<Vec<Record>>>()
        .map_err(|e| failed(FailureCode::Invalid, &e.to_string()))?;
    ObjectSet::from_records(&records)
        .map_err(|findings| failed(FailureCode::Invalid, &findings.to_string()))
}

fn catalog_change(change: &Change) -> ledger::ObjectChange {
    let peer::Change { kind, name, body } = encode_change(change);
    ledger::ObjectChange { kind, name, body }
}
