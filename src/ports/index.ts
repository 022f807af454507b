/**
 * Ports to the operating system: time, randomness, byte streams, HTTP and files. Each port is an abstract class with a real
 * implementation and an in-memory one, so that a whole fleet can run in one process under virtual time.
 */
export * from "./bodyFraming/index.js";
export * from "./byteBuffer/index.js";
export * from "./callerBudget/index.js";
export * from "./chunkDecoder/index.js";
export * from "./clock/index.js";
export * from "./connectionHistory/index.js";
export * from "./connectionPool/index.js";
export * from "./deriveBudgetLimits/index.js";
export * from "./disk/index.js";
export * from "./fileDisk/index.js";
export * from "./headerText/index.js";
export * from "./heldBytes/index.js";
export * from "./http/index.js";
export * from "./memoryDisk/index.js";
export * from "./memoryFabric/index.js";
export * from "./memoryHost/index.js";
export * from "./memoryHttpFabric/index.js";
export * from "./network/index.js";
export * from "./nodeHttp/index.js";
export * from "./random/index.js";
export * from "./replyLimits/index.js";
export * from "./responseHead/index.js";
export * from "./seededRandom/index.js";
export * from "./sleepDetector/index.js";
export * from "./systemClock/index.js";
export * from "./systemRandom/index.js";
export * from "./tcpNetwork/index.js";
export * from "./virtualClock/index.js";
export * from "./writeToStandardOutput/index.js";
export * from "./wrongAnswer/index.js";
export * from "./wrongServer/index.js";
