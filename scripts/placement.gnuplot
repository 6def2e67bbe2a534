set terminal svg size 1200,600 font 'sans,11'
set output out
set title 'Short tasks: p99 response over the clairvoyant bound'
set logscale y
set style data histograms
set style fill solid 0.8
set xtics rotate by -35
set grid ytics
set key top right
plot "< grep six-hosts ".data using 3:xtic(1) title 'heathermoor, six hosts', \
     "< grep one-share ".data using 3 title 'heathermoor, one share', \
     "< grep least ".data using 3 title 'least outstanding', \
     "< grep two ".data using 3 title 'power of two choices', \
     "< grep random ".data using 3 title 'random'
