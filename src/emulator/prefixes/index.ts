/** The names of cached prefixes, as the published protocol has them. */
export { hashPrefixes, PREFIX_BLOCK_CHARACTERS, PREFIX_BLOCK_TOKENS } from "../../protocol/index.js";
