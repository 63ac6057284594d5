"""Tracks which prompt parts each engine has read, and the memory in use there.

Load pattern: items come in groups of 8 or 16 that share a prompt of some 1,000 tokens.
Engines keep the parts of prompts that they have read, up to their memory, and read only
what they lack. Their reports are old and each has a price, so this is estimated from
own sends alone.
"""

from collections import OrderedDict

# Bound of the tracked parts of an engine whose memory the configuration does not state.
DEFAULT_MEMORY_TOKENS = 32_768
# Bound of the counts that a trainer states, beyond any engine's memory: larger ones may
# not fit into a float, and the runner would fail on the step again and again.
MAX_TOKENS = 10**8
MAX_MODELS = 256  # callers name the models of their steps, also ones that do not exist


class Prompt:
    """The prompt of an item and the memory that its sample takes.

    Created from ``(name, tokens)`` pairs in order; items of a group share all but the
    last. ``shared`` are ``(prefix, tokens)`` of the shared parts: a part is usable only
    behind the same parts as before, so its prefix names these too. ``tokens`` counts the
    whole prompt, ``output_tokens`` the expected output.
    """

    __slots__ = ("output_tokens", "shared", "shared_tokens", "tokens")

    def __init__(self, parts, tokens, output_tokens):
        parts = [(name, _bounded(size)) for name, size in parts]
        names = tuple(name for name, _ in parts)
        # Parts without tokens would never be evicted.
        self.shared = [
            (names[: end + 1], size) for end, (_, size) in enumerate(parts[:-1]) if size
        ]
        self.shared_tokens = sum(size for _, size in parts[:-1])
        self.tokens = max(_bounded(tokens), sum(size for _, size in parts))
        self.output_tokens = _bounded(output_tokens)

    @property
    def own_tokens(self):
        """The tokens of its sample that no other one shares."""
        return self.tokens - self.shared_tokens + self.output_tokens


def _bounded(tokens):
    return min(max(0, tokens), MAX_TOKENS)


class _Part:
    """A part of prompts at an engine, used by ``users`` running samples."""

    __slots__ = ("is_read", "tokens", "users")

    def __init__(self, tokens):
        self.tokens = tokens
        self.users = 0
        self.is_read = False


class PromptUse:
    """A sample that runs at an engine, and the parts there that it uses.

    ``missing_tokens`` are the shared tokens that the engine had to read for it.
    """

    __slots__ = ("keys", "missing_tokens", "output_tokens", "own_tokens")

    def __init__(self, keys, prompt, missing_tokens):
        self.keys = keys
        self.missing_tokens = missing_tokens
        self.output_tokens = prompt.output_tokens
        self.own_tokens = prompt.own_tokens


class PromptCache:
    """The shared prompt parts that one incarnation of an engine has read or is reading.

    It is known from own sends only and may differ from what the engine holds; a wrong
    entry costs one read. Parts are kept for one version of each model, the last sent to.
    """

    __slots__ = (
        "_longest_output",
        "_own_tokens",
        "_part_tokens",
        "_parts",
        "_used_part_tokens",
        "_uses",
        "_versions",
    )

    def __init__(self):
        self._parts = OrderedDict()  # the least recently used first
        self._versions = {}
        self._part_tokens = 0
        self._used_part_tokens = 0
        self._own_tokens = 0
        self._uses = set()
        self._longest_output = None  # None while it must be determined again

    @property
    def tokens_in_use(self):
        """Estimated memory of what runs; shared parts count once."""
        return self._used_part_tokens + self._own_tokens

    @property
    def longest_output(self):
        """The expected output tokens of the longest sample that runs, 0 for none."""
        if self._longest_output is None:
            outputs = (use.output_tokens for use in self._uses)
            self._longest_output = max(outputs, default=0)
        return self._longest_output

    def known_tokens(self, model, version, prompt):
        """Return how many of a prompt's shared tokens are cached or being read."""
        if self._versions.get(model) != version:
            return 0
        known = 0
        for prefix, tokens in prompt.shared:
            if (model, version, prefix) not in self._parts:
                break
            known += tokens
        return known

    def has_shared(self, model, version, prompt):
        """Return whether all that a prompt's group shares is cached or being read."""
        if not prompt.shared:
            return False
        # The last part is looked up first: most engines lack it.
        if (model, version, prompt.shared[-1][0]) not in self._parts:
            return False
        return self.known_tokens(model, version, prompt) == prompt.shared_tokens

    def tokens_needed(self, model, version, prompt):
        """Return the estimated memory in use if the prompt's sample ran here too."""
        needed = self.tokens_in_use + prompt.own_tokens
        for prefix, tokens in prompt.shared:
            part = self._parts.get((model, version, prefix))
            if part is None or not part.users:
                needed += tokens
        return needed

    def start(self, model, version, prompt, memory):
        """Record a send; return its ``PromptUse``, which must be passed to ``finish``.

        ``memory`` is that of the engine in tokens, None if unknown.
        """
        self._set_version(model, version)
        missing = prompt.shared_tokens - self.known_tokens(model, version, prompt)
        keys = [(model, version, prefix) for prefix, _ in prompt.shared]
        for key, (_, tokens) in zip(keys, prompt.shared, strict=True):
            part = self._parts.get(key)
            if part is None:
                part = self._parts[key] = _Part(tokens)
                self._part_tokens += tokens
            if not part.users:
                self._used_part_tokens += part.tokens
            part.users += 1
            self._parts.move_to_end(key)
        self._own_tokens += prompt.own_tokens
        self._evict(memory or DEFAULT_MEMORY_TOKENS)
        use = PromptUse(keys, prompt, missing)
        self._uses.add(use)
        self._longest_output = None
        return use

    def mark_read(self, use):
        """Record that the engine has read a prompt: its sample's first event came."""
        for key in use.keys:
            self._parts[key].is_read = True

    def finish(self, use):
        """Record the end of a sample.

        Parts that were not read to their end, since the engine refused or lost the
        sample, are dropped. A second call for the same sample has no effect.
        """
        if use not in self._uses:
            return
        self._uses.remove(use)
        self._longest_output = None
        self._own_tokens -= use.own_tokens
        for key in use.keys:
            part = self._parts[key]
            part.users -= 1
            if part.users:
                continue
            self._used_part_tokens -= part.tokens
            if not part.is_read or self._versions[key[0]] != key[1]:
                self._drop(key)

    def _set_version(self, model, version):
        """Drop the parts of other versions, except those in use."""
        if self._versions.get(model) == version:
            return
        self._versions[model] = version
        if len(self._versions) > MAX_MODELS:
            tracked = {key[0] for key in self._parts} | {model}
            self._versions = {name: self._versions[name] for name in tracked}
        for key, part in list(self._parts.items()):
            if key[0] == model and key[1] != version and not part.users:
                self._drop(key)

    def _evict(self, memory):
        """Drop the least recently used parts that do not fit beside what runs."""
        excess = self._part_tokens + self._own_tokens - memory
        if excess <= 0:
            return
        for key, part in list(self._parts.items()):
            if excess <= 0:
                return
            if not part.users:
                excess -= part.tokens
                self._drop(key)

    def _drop(self, key):
        self._part_tokens -= self._parts.pop(key).tokens
