package refusal

// CodeSpuriousAnswer is the code of a call in place of whose answer an upstream sent something else. The call may have run.
const CodeSpuriousAnswer = "spurious-answer"
