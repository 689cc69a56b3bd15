//! Publications: compare-and-set on the generation, with results retained for retries.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use poplarspan_proto::ledger::{
    CatalogAnswer, GenerationConflict, ObjectChange, Publication, PublicationResult, Publish,
    Published, RequestMismatch, catalog_answer::Answer,
};
use prost::Message;

use super::Catalog;

/// The latest results, up to this number, are kept regardless of age.
const MIN_RETAINED_RESULTS: usize = 10_000;
/// Results younger than this are kept regardless of number.
const RESULT_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// Number of publications whose changes are kept, about one day at 3,300 publications a day.
const MAX_RETAINED_PUBLICATIONS: usize = 4096;
/// Total size of the kept changes. An instance that needs more than these receives the full set,
/// which has about this size with 30,000 teams.
const MAX_RETAINED_CHANGES_BYTES: usize = 16 << 20;

impl Catalog {
    pub(super) fn publish(&mut self, publish: Publish) -> Answer {
        let digest = request_digest(&publish);
        if let Some(result) = self.results.get(&publish.request_id) {
            if result.digest[..] != digest {
                return Answer::RequestMismatch(RequestMismatch {});
            }
            let first = CatalogAnswer::decode(&result.answer[..]).ok().and_then(|a| a.answer);
            return first.unwrap_or_else(|| super::invalid("stored result is not decodable"));
        }
        let request_id = publish.request_id.clone();
        let answer = if publish.expected_generation == self.generation {
            self.accept(publish)
        } else {
            self.conflict(publish.expected_generation)
        };
        let encoded = CatalogAnswer { answer: Some(answer.clone()) }.encode_to_vec();
        self.results.add(PublicationResult {
            request_id,
            at_ms: self.now_ms,
            digest: digest.to_vec().into(),
            answer: encoded.into(),
        });
        self.results.trim(self.now_ms);
        answer
    }

    fn accept(&mut self, publish: Publish) -> Answer {
        self.generation += 1;
        for change in &publish.changes {
            let key = (Arc::from(change.kind.as_str()), Arc::from(change.name.as_str()));
            match &change.body {
                Some(body) => self.objects.insert(key, body.clone()),
                None => self.objects.remove(&key),
            };
        }
        self.full_set.take();
        self.recent.add(Publication {
            generation: self.generation,
            operator: publish.operator,
            changes: publish.changes,
        });
        Answer::Published(Published { generation: self.generation })
    }

    /// Answers a publication whose expected generation is not current. The conflict names the
    /// publication that followed the expected generation, or the latest one if that one is no
    /// longer kept.
    fn conflict(&self, expected: u64) -> Answer {
        let winner = self.recent.get(expected.saturating_add(1)).or(self.recent.list.back());
        Answer::Conflict(GenerationConflict {
            operator: winner.map(|w| w.operator.clone()).unwrap_or_default(),
            generation: winner.map_or(0, |w| w.generation),
            current_generation: self.generation,
        })
    }
}

/// Digest that identifies a retry. With a content digest, the changes are left out, because a retry
/// may compute them against a later generation.
fn request_digest(publish: &Publish) -> [u8; 32] {
    let mut request = publish.clone();
    if !request.content_digest.is_empty() {
        request.changes.clear();
    }
    *blake3::hash(&request.encode_to_vec()).as_bytes()
}

/// Changes of the latest publications, oldest first, with contiguous generations.
#[derive(Debug, Default)]
pub(super) struct RecentPublications {
    pub(super) list: VecDeque<Publication>,
    bytes: usize,
}

impl RecentPublications {
    pub(super) fn add(&mut self, publication: Publication) {
        self.bytes += publication.encoded_len();
        self.list.push_back(publication);
        // The latest is always kept, because a conflict names the operator that published it.
        while self.list.len() > 1
            && (self.list.len() > MAX_RETAINED_PUBLICATIONS
                || self.bytes > MAX_RETAINED_CHANGES_BYTES)
        {
            let oldest = self.list.pop_front();
            self.bytes -= oldest.map_or(0, |p| p.encoded_len());
        }
    }

    fn get(&self, generation: u64) -> Option<&Publication> {
        let first = self.list.front()?.generation;
        self.list.get(usize::try_from(generation.checked_sub(first)?).ok()?)
    }

    /// Returns the changes after `generation`, merged to one per object and sorted by kind and
    /// name. Returns `None` if some of them are no longer kept, if `generation` is later than
    /// `current`, or if there are at least `max` changes before the merge.
    pub(super) fn since(
        &self,
        generation: u64,
        current: u64,
        max: usize,
    ) -> Option<Vec<ObjectChange>> {
        if generation == current {
            return Some(Vec::new());
        }
        let first = self.list.front()?.generation;
        let skip = generation.checked_add(1)?.checked_sub(first)?;
        if generation > current {
            return None;
        }
        let newer = self.list.range(usize::try_from(skip).ok()?.min(self.list.len())..);
        // Count before merging: merging a large set only to discard it costs more than sending the
        // full set.
        if newer.clone().map(|publication| publication.changes.len()).sum::<usize>() >= max {
            return None;
        }
        let mut merged = BTreeMap::new();
        for change in newer.flat_map(|publication| &publication.changes) {
            merged.insert((change.kind.as_str(), change.name.as_str()), &change.body);
        }
        let change = |((kind, name), body): ((&str, &str), &Option<Bytes>)| ObjectChange {
            kind: kind.into(),
            name: name.into(),
            body: body.clone(),
        };
        Some(merged.into_iter().map(change).collect())
    }
}

/// Answers to publications by request id, oldest first.
#[derive(Debug, Default)]
pub(super) struct PublicationResults {
    pub(super) list: VecDeque<PublicationResult>,
    /// Sequence number of each result. `list[0]` has the number `first`.
    numbers: BTreeMap<String, u64>,
    first: u64,
}

impl PublicationResults {
    fn get(&self, request_id: &str) -> Option<&PublicationResult> {
        let number = self.numbers.get(request_id)?;
        self.list.get((number - self.first) as usize)
    }

    /// Appends a result and returns whether its request id is new.
    pub(super) fn add(&mut self, result: PublicationResult) -> bool {
        let number = self.first + self.list.len() as u64;
        let is_new = self.numbers.insert(result.request_id.clone(), number).is_none();
        self.list.push_back(result);
        is_new
    }

    /// Removes the oldest results that exceed both retention limits.
    fn trim(&mut self, now_ms: u64) {
        while self.list.len() > MIN_RETAINED_RESULTS {
            let Some(oldest) = self.list.front() else { return };
            if now_ms.saturating_sub(oldest.at_ms) < RESULT_RETENTION_MS {
                return;
            }
            self.numbers.remove(&oldest.request_id);
            self.list.pop_front();
            self.first += 1;
        }
    }
}
