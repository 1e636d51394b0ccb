; Nobody listens here: `load` only tells a free port with it.
(fleet (service call)
  (exchange a (numbers "20") (office 127.0.0.1:9) (processor 127.0.0.1:9))
  (exchange b (numbers "21") (office 127.0.0.1:9) (processor 127.0.0.1:9))
  (directory 127.0.0.1:9))
