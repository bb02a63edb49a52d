//! The images that a machine has cached or is fetching, inferred from its heartbeats and from placements.
//!
//! The inference assumes that the machine evicts the least recently used images first and never evicts the
//! most recently used one.

use crate::core::model::ImageKey;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// An image in a machine's cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedImage {
    /// The key of the image.
    pub image: ImageKey,
    /// The size of the image in GB.
    pub size_gb: f64,
}

/// An image that a machine is fetching.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImageFetch {
    /// When the leader first learned that the fetch was in progress.
    pub since: Instant,
    /// The size of the image in GB.
    pub size_gb: f64,
}

/// The images that one machine has cached or is fetching.
#[derive(Clone, Debug, Default)]
pub struct ImageCache {
    /// Cached images, the least recently used one first.
    cached: VecDeque<CachedImage>,
    /// Fetches in progress.
    fetches: BTreeMap<ImageKey, ImageFetch>,
}

impl ImageCache {
    /// Whether the machine has cached an image.
    pub fn contains(&self, image: ImageKey) -> bool {
        self.cached.iter().any(|c| c.image == image)
    }

    /// Adds an image to the cache as the most recently used one, without evicting other images.
    pub fn push(&mut self, image: CachedImage) {
        self.cached.push_back(image);
    }

    /// The fetch of an image; `None` if none is in progress.
    pub fn fetch(&self, image: ImageKey) -> Option<&ImageFetch> {
        self.fetches.get(&image)
    }

    /// The number of fetches in progress.
    pub fn fetch_count(&self) -> usize {
        self.fetches.len()
    }

    /// The total size of the images that are being fetched, in GB.
    pub fn fetching_gb(&self) -> f64 {
        self.fetches.values().map(|fetch| fetch.size_gb).sum()
    }

    /// Records that the machine is fetching an image at `now`. If the fetch is recorded already, its start
    /// time is kept.
    pub(in crate::core) fn record_fetch(&mut self, now: Instant, image: ImageKey, size_gb: f64) {
        let fetch = ImageFetch {
            since: now,
            size_gb,
        };
        self.fetches.entry(image).or_insert(fetch);
    }

    /// Records that a task uses an image, which shows that the image is cached and that its fetch has ended.
    /// The least recently used images are removed until the remaining ones fit into `capacity_gb` or only
    /// this image is left.
    pub(in crate::core) fn record_use(&mut self, image: ImageKey, size_gb: f64, capacity_gb: f64) {
        self.fetches.remove(&image);
        if self.cached.back().is_some_and(|c| c.image == image) {
            return;
        }
        self.cached.retain(|c| c.image != image);
        self.cached.push_back(CachedImage { image, size_gb });
        while self.cached.len() > 1 && self.cached_gb() > capacity_gb {
            self.cached.pop_front();
        }
    }

    /// Removes all fetches. Called when no task is placed on the machine any more, because its fetches end
    /// then.
    pub(in crate::core) fn clear_fetches(&mut self) {
        self.fetches.clear();
    }

    /// Removes all images and fetches. Called after the agent has restarted, which leaves the cache empty.
    pub(in crate::core) fn clear(&mut self) {
        self.cached.clear();
        self.fetches.clear();
    }

    fn cached_gb(&self) -> f64 {
        self.cached.iter().map(|c| c.size_gb).sum()
    }
}
