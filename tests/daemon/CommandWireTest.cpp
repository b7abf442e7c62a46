#include "daemon/CommandWire.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

namespace {

const TimePoint Now = absl::UnixEpoch() + absl::Hours(1);

CommandJob jobOf(const std::string &Body) {
  CommandJob Job;
  Job.Context.RequestId = "r-1";
  Job.Context.Urgency = Priority::Urgent;
  Job.Service = "enquiry-relay";
  Job.Ticket = "t";
  Job.SessionId = "s";
  Job.Body = Body;
  return Job;
}

} // namespace

TEST(CommandWireTest, ACommandReadsBackWithItsDeadline) {
  CommandJob Job = jobOf(R"({"key":"k","command":{"x":1}})");
  TimePoint Later = Now + absl::Seconds(5);
  std::string Bytes = encodeCommand(Job, Now + absl::Milliseconds(300), Now);
  std::optional<ForwardedCommand> Got = decodeCommand(Bytes, Later);
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got->Deadline, Later + absl::Milliseconds(300));
  EXPECT_EQ(Got->Job.Ticket, "t");
  EXPECT_EQ(Got->Job.Request.Key, "k");
  EXPECT_EQ(Got->Job.Context.Urgency, Priority::Urgent);
}

TEST(CommandWireTest, ACommandWithABadBodyIsRefused) {
  std::string Bytes = encodeCommand(jobOf(R"({"kye":"k"})"), Now, Now);
  EXPECT_FALSE(decodeCommand(Bytes, Now));
}

// Such an answer used up the stack.
TEST(CommandWireTest, DeeplyNestedAnswerIsRefused) {
  CommandAnswer Answer;
  Answer.Status = CommandStatus::Answered;
  Answer.State = RunState::Ran;
  Answer.Body = R"({"rows": )" + std::string(500000, '[') +
                std::string(500000, ']') + "}";
  EXPECT_FALSE(decodeCommandAnswer(encodeCommandAnswer(Answer)));
}

TEST(CommandWireTest, AnAnswerReadsBack) {
  CommandAnswer Answer;
  Answer.Status = CommandStatus::Answered;
  Answer.State = RunState::Ran;
  Answer.Body = "{}";
  std::optional<CommandAnswer> Got =
      decodeCommandAnswer(encodeCommandAnswer(Answer));
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got->Status, CommandStatus::Answered);
  EXPECT_EQ(Got->State, RunState::Ran);
}

RC_GTEST_PROP(CommandWirePropertyTest, GarbageIsRefused,
              (const std::string &Garbage)) {
  RC_ASSERT(!decodeCommand(Garbage, Now));
  RC_ASSERT(!decodeCommandAnswer(Garbage));
}
