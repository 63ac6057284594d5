"""Tests of reward calls with real processes."""

import signal
import unittest

from sassafrasdoor.platform import wire
from sassafrasdoor.platform.tests.cases import ProcessCase


class RewardProcessTest(ProcessCase):
    def scoring_runs(self):
        return [run for replica in self.plain for run in replica.runs]

    def check_scores(self, results):
        stamps = {}
        for run in self.scoring_runs():
            stamps.setdefault(run.request_id, set()).add(run.stamp)
        for result in results:
            self.assertIn(result["Score"], stamps[f"{result['Id']}-r"])

    async def test_samples_have_the_score_of_their_own_call(self):
        self.assertEqual((await self.submit("s", rewarded=True)).code, 202)
        results = await self.wait_until(lambda: self.all_results("s", 1))
        self.check_texts(results)
        self.check_scores(results)

    async def test_runner_that_dies_between_text_and_score(self):
        """Guards against generating texts twice and against scores of other texts.

        All texts of a step are complete and their reward calls are running when the
        runner is killed. Only the runner had the information that a text was complete.
        """
        for replica in self.plain:
            replica.pause = 1.5
        self.assertEqual((await self.submit("s", rewarded=True)).code, 202)
        await self.wait_until(lambda: len(self.scoring_runs()) >= 4)
        generated = len(self.all_runs())
        runner = self.runner_instance()
        runner.kill()
        other = next(
            at for at, instance in enumerate(self.instances) if instance is not runner
        )
        results = await self.wait_until(lambda: self.all_results("s", other))
        self.check_texts(results)
        self.check_scores(results)
        self.assertEqual(len(self.all_runs()), generated)
        for run in self.scoring_runs():
            self.assertEqual(run.path, f"/plain/{run.request_id[2:-2]}")

    async def test_resumed_runner_changes_no_score_already_read(self):
        """Guards against scores that change after they have been read.

        The runner is paused while its reward calls run, another one scores the texts,
        and the first resumes; the later score was accepted too.
        """
        for replica in self.plain:
            replica.pause = 0.8
        self.assertEqual((await self.submit("s", rewarded=True)).code, 202)
        await self.wait_until(lambda: len(self.scoring_runs()) >= 4)
        runner = self.runner_instance()
        runner.signal(signal.SIGSTOP)
        others = [
            at for at, instance in enumerate(self.instances) if instance is not runner
        ]
        results = await self.wait_until(lambda: self.all_results("s", others[0]))
        runner.signal(signal.SIGCONT)
        at = self.instances.index(runner)
        self.assertEqual(
            await self.wait_until(lambda: self.all_results("s", at)), results
        )
        self.check_scores(results)

    async def test_malformed_reward_call_is_refused_and_nothing_is_kept(self):
        body = '{"Model": "m", "Items": [{"Id": "i", "Path": "/s/0", "Scorer": 1}]}'
        front = self.instances[0].front
        headers = {wire.REQUEST_ID: "bad"}
        reply = await self.fetch(front, "/s/", "POST", body, **headers)
        self.assertEqual(reply.code, 400)
        self.assertIn(b"Items.0.Scorer", reply.body)

        async def definitive_status():
            # 503 until the instance has read every shard to its end.
            reply = await self.fetch(front, "/-/lots/bad?After=0")
            return reply.code if reply.code != 503 else None

        self.assertEqual(await self.wait_until(definitive_status), 404)


if __name__ == "__main__":
    unittest.main()
